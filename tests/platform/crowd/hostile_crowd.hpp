#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbpath::soak {

/// What each client of a crowd sends on a connection: `opening` once, then `repeated` again and again.
struct hostile_load {
  std::uint16_t port{0};
  std::size_t clients{40};
  std::string opening;
  std::string repeated;             ///< Nothing more is sent if empty.
  std::size_t bytes_per_client{0};  ///< What a client sends in all, over its connections together.
  int connections_per_client{5};    ///< A client whose connection is closed connects again up to this number.
};

/// Clients that send without reading any answer. They keep their connections open until destruction.
class hostile_crowd {
 public:
  hostile_crowd(const std::string& address, hostile_load load);
  hostile_crowd(const hostile_crowd&) = delete;
  hostile_crowd(hostile_crowd&&) = delete;
  hostile_crowd& operator=(const hostile_crowd&) = delete;
  hostile_crowd& operator=(hostile_crowd&&) = delete;
  ~hostile_crowd();

  /// Sends what the connections take now, a limited number of bytes each. Returns the number of bytes sent.
  std::size_t step();
  /// Whether every client has sent all its bytes or may not connect any more.
  [[nodiscard]] bool finished() const;

 private:
  struct client {
    int socket{-1};
    int connections{0};
    std::size_t sent{0};
    std::size_t sent_on_connection{0};
  };

  void connect(client& target);
  std::size_t send_some(client& target);

  std::string address_;
  hostile_load load_;
  std::vector<client> clients_;
};

/// Sends `request` and reads the answer in small pieces with a pause before each, until the connection ends.
/// The request has to ask for that end.
[[nodiscard]] std::string read_slowly(const std::string& address, std::uint16_t port,
                                      const std::string& request);

/// Sends the head and the whole body of a request, as far as the server takes them, and then reads the answer
/// until the connection ends, as many HTTP clients do. Gives up after a few seconds without progress.
[[nodiscard]] std::string send_whole(const std::string& address, std::uint16_t port, const std::string& head,
                                     const std::string& body);

/// Resident memory of a process in bytes, now and at its highest; 0 if it does not run.
struct process_memory {
  std::uint64_t resident{0};
  std::uint64_t highest{0};
};
[[nodiscard]] process_memory memory_of(pid_t process);
/// Number of descriptors that a process has open.
[[nodiscard]] std::size_t open_descriptors(pid_t process);
/// Bytes that the connections of a local IP number have received and that were not read yet.
[[nodiscard]] std::uint64_t unread_bytes(const std::string& address);

}  // namespace rhubarbpath::soak
