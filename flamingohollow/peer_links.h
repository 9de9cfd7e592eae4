// Carries messages between voters over RPC, answers included.
//
// Messages between voters are one-way, while an RPC call has an answer. What
// the replica says to a voter while it takes that voter's message goes back as
// the answer of the call that brought it, so a heartbeat and its
// acknowledgement cost one call instead of two. Everything else goes as a call
// of its own.
//
// Body of a call: the sender's address and one message; of an answer: any
// number of messages. All as texts with their lengths as 4 bytes before them,
// lowest first. Runs on the control thread.

#ifndef FLAMINGOHOLLOW_PEER_LINKS_H_
#define FLAMINGOHOLLOW_PEER_LINKS_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "util/clock.h"

namespace flamingohollow {

// A call between voters that is not answered within this is given up.
inline constexpr Duration kPeerTimeout = Duration(1000);
// Answers carry at most this many bytes; what is beyond goes as calls.
inline constexpr std::size_t kMaxPeerAnswer = 1024 * 1024;

class PeerLinks {
 public:
  // Calls `address` and gives the answer's body, on the control thread, if
  // there is one.
  using CallPeer =
      std::function<void(const std::string& address, std::string body,
                         std::function<void(const std::string& answer)> done)>;
  // Gives a message to the replica.
  using TakeMessage = std::function<void(std::string message)>;

  // `own_address` is where the other voters reach this one.
  PeerLinks(std::string own_address, CallPeer call, TakeMessage take);

  void Send(const std::string& address, const std::string& message);
  // Takes the body of a call in; returns the answer.
  std::string Receive(std::string_view body);

 private:
  void TakeAnswer(std::string_view answer);

  std::string own_address_;
  CallPeer call_;
  TakeMessage take_;
  // While a call is taken in: from whom, and what to answer. Messages that are
  // taken in from answers are not answered, so this never nests.
  std::string answering_;
  std::string answer_;
};

// Texts with their lengths before them, as calls and answers hold them. Text
// that is cut short ends the list.
void AppendText(std::string& body, std::string_view text);
std::vector<std::string> SplitTexts(std::string_view body);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_PEER_LINKS_H_
