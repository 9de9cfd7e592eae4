// A blocking loopback connection for raw bytes, for tests of HTTP servers.

#ifndef FLAMINGOHOLLOW_TESTING_RAW_CLIENT_H_
#define FLAMINGOHOLLOW_TESTING_RAW_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>

namespace flamingohollow {

class RawClient {
 public:
  // Connects to 127.0.0.1.
  explicit RawClient(std::uint16_t port);
  ~RawClient();
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Send(const std::string& bytes);
  // Reads until `text` has arrived; false if the connection ends before that
  // or nothing arrives for 20 s.
  bool ReadUntil(const std::string& text);
  // Returns everything up to the end of the connection, followed by
  // "(timed out)" if the connection did not end within 20 s.
  std::string ReadAll();
  // Discards the data read so far.
  void DiscardReceived();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// The bytes of a request; `headers` are whole lines, each with its line end.
std::string RawRequest(const std::string& method, const std::string& target,
                       const std::string& headers, const std::string& body);

bool Contains(const std::string& text, const std::string& part);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_TESTING_RAW_CLIENT_H_
