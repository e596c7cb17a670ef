// Asio's socket types bound to io_context's own executor: the default
// any_io_executor costs a virtual call and often an allocation an operation.
#ifndef BURDOCKROCK_NET_TCP_H_
#define BURDOCKROCK_NET_TCP_H_

#include <chrono>

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace burdockrock {

using TcpEndpoint = boost::asio::ip::tcp::endpoint;

using TcpSocket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp,
                                     boost::asio::io_context::executor_type>;

using TcpAcceptor =
    boost::asio::basic_socket_acceptor<boost::asio::ip::tcp,
                                       boost::asio::io_context::executor_type>;

using SteadyTimer = boost::asio::basic_waitable_timer<
    std::chrono::steady_clock,
    boost::asio::wait_traits<std::chrono::steady_clock>,
    boost::asio::io_context::executor_type>;

}  // namespace burdockrock

#endif  // BURDOCKROCK_NET_TCP_H_
