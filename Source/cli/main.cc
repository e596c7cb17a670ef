// The program `burdockrock`.
#include <iostream>
#include <string>
#include <vector>

#include <unistd.h>

#include <boost/asio/io_context.hpp>

#include "cli/command_line.h"

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  boost::asio::io_context io;
  burdockrock::Output output = {.out = std::cout,
                                .err = std::cerr,
                                .show_progress = isatty(STDERR_FILENO) == 1};
  return static_cast<int>(burdockrock::RunCommandLine(words, output, io));
}
