// Reads HTTP messages with limits on memory; shared by server and client.
//
// What is read and not parsed yet is limited by the buffer's max_size, which
// covers headers, trailers and the headers of chunks; the parser has limits on
// header and body. Both limits hold for one message. For all messages together,
// the caller's Memory is asked after each read.

#ifndef FLAMINGOHOLLOW_HTTP_READ_H_
#define FLAMINGOHOLLOW_HTTP_READ_H_

#include <algorithm>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace flamingohollow {

// The first read of a message. Most messages are smaller.
inline constexpr std::size_t kFirstReadBytes = 4096;

// Memory reserved for the lifetime of the object, as a part of `total`.
class Reservation {
 public:
  explicit Reservation(std::atomic<std::uint64_t>& total) : total_(total) {}
  ~Reservation() { total_ -= bytes_; }
  Reservation(const Reservation&) = delete;
  Reservation& operator=(const Reservation&) = delete;

  // Changes the reservation to `bytes`. Returns false, and changes nothing, if
  // it would grow and the total exceed `limit`.
  bool Resize(std::uint64_t bytes, std::uint64_t limit) {
    const std::uint64_t added = bytes - std::min(bytes, bytes_);
    if (added > 0 && total_.fetch_add(added) + added > limit) {
      total_ -= added;
      return false;
    }
    total_ -= bytes_ - std::min(bytes, bytes_);
    bytes_ = bytes;
    return true;
  }

 private:
  std::atomic<std::uint64_t>& total_;
  std::uint64_t bytes_ = 0;
};

// Returns about how many bytes the parser holds besides the body.
template <class Message>
std::size_t HeaderBytes(const Message& message) {
  // What the library allocates for each field besides its text.
  constexpr std::size_t kFieldBytes = 96;
  std::size_t bytes = 0;
  for (const auto& field : message) {
    bytes += field.name_string().size() + field.value().size() + kFieldBytes;
  }
  return bytes;
}

// Returns how much of the body is not parsed yet, if its length is known.
template <class Parser>
std::optional<std::size_t> BytesLeft(const Parser& parser) {
  const auto left = parser.content_length_remaining();
  if (!left.has_value() || *left == 0) return std::nullopt;
  return static_cast<std::size_t>(*left);
}

// Reads one message. `memory(buffer, parser)` returns whether what is held may
// be held; if not, the result is asio::error::no_memory. If the buffer is full
// and nothing in it can be parsed, it is http::error::buffer_overflow.
template <class Parser, class Memory>
boost::asio::awaitable<boost::system::error_code> ReadMessage(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
    Parser& parser, Memory memory) {
  namespace asio = boost::asio;
  namespace http = boost::beast::http;
  while (!parser.is_done()) {
    if (buffer.size() > 0) {
      boost::system::error_code error;
      const std::size_t parsed = parser.put(buffer.data(), error);
      buffer.consume(parsed);
      if (error && error != http::error::need_more) co_return error;
      // A body may have very many parts.
      if (parsed > 0 && buffer.size() > 0 && !parser.is_done()) continue;
      if (!memory(buffer, parser)) co_return asio::error::no_memory;
      if (parsed > 0) continue;
    }
    const std::size_t room = buffer.max_size() - buffer.size();
    if (room == 0) co_return http::error::buffer_overflow;
    // Of what follows a body of known length, nothing is read.
    const std::size_t wanted =
        parser.is_header_done()
            ? std::min(room, BytesLeft(parser).value_or(room))
            : std::min(room, kFirstReadBytes);
    const auto [read_error, bytes] = co_await stream.async_read_some(
        buffer.prepare(wanted), asio::as_tuple(asio::use_awaitable));
    if (read_error == asio::error::eof && parser.got_some()) {
      boost::system::error_code error;
      parser.put_eof(error);
      if (error) co_return error;
    } else if (read_error) {
      co_return read_error;
    }
    buffer.commit(bytes);
  }
  co_return boost::system::error_code();
}

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_HTTP_READ_H_
