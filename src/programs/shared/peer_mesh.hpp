#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "rhubarbpath/protocol/peer_messages.hpp"
#include "rhubarbpath/transport/event_loop.hpp"
#include "rhubarbpath/transport/metrics.hpp"
#include "rhubarbpath/transport/peer_link.hpp"

namespace rhubarbpath {

/// Links of one process to others, found by VM id. Links are opened when there is something to send.
class peer_mesh {
 public:
  struct callbacks {
    std::function<void(const member_info& from, const peer::message& message)> on_message;
    /// The last link to the VM closed.
    std::function<void(const vm_id& vm)> on_lost;
  };

  peer_mesh(event_loop& loop, member_info self, metrics& counters, callbacks calls);

  [[nodiscard]] absl::Status listen();
  /// Sends when a link is open; otherwise opens one to `address` and sends then. Returns false when
  /// the message was dropped, because there is no address or too much waits for the link.
  bool send(const vm_id& to, const std::string& address, const peer::message& message);
  /// Sends only on an open link.
  bool send_open(const vm_id& to, const peer::message& message);
  /// Sends on every open link.
  void broadcast(const peer::message& message);
  /// Opens a link if there is none.
  void connect(const vm_id& to, const std::string& address);
  /// Number of links, opened here or by peers.
  [[nodiscard]] std::size_t links() const noexcept { return links_.size(); }

 private:
  struct link_state {
    std::shared_ptr<peer_link> link;
    std::optional<member_info> peer;  ///< From the hello.
    vm_id dialled;                    ///< Empty for an accepted link.
    std::vector<std::string> waiting;
  };
  using link_number = std::uint64_t;

  link_number add(const vm_id& dialled);
  peer_link::callbacks callbacks_for(link_number number);
  void on_open(link_number number);
  void on_bytes(link_number number, const std::string& bytes);
  void on_closed(link_number number, const std::string& reason);
  void on_hello(link_number number, const peer::hello& hello);
  link_state* open_link(const vm_id& to);
  bool transmit(link_state& state, const std::string& bytes);

  event_loop& loop_;
  member_info self_;
  metrics& metrics_;
  callbacks calls_;
  std::map<link_number, link_state> links_;
  std::map<vm_id, instant> not_before_;  ///< Earliest next dial after a failure.
  link_number last_number_{0};
  peer_listener listener_;
};

}  // namespace rhubarbpath
