// Ends the making of TCP connections at a listener that stays open.
#ifndef BURDOCKROCK_NET_HANDSHAKE_FILTER_H_
#define BURDOCKROCK_NET_HANDSHAKE_FILTER_H_

namespace burdockrock {

// From now on the system drops the first packet of each new connection to
// `listener`, as if it were lost: its client sends it again, after a second on
// most systems, and is refused once the listener is closed. Handshakes that
// have begun go on. False when the system can't do so.
bool DropNewHandshakes(int listener);

}  // namespace burdockrock

#endif  // BURDOCKROCK_NET_HANDSHAKE_FILTER_H_
