#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster_node.hpp"
#include "daemon_settings.hpp"
#include "peer_mesh.hpp"
#include "rhubarbpath/transport/client_limits.hpp"
#include "rhubarbpath/transport/http_client.hpp"
#include "rhubarbpath/transport/http_server.hpp"
#include "rhubarbpath/transport/metrics.hpp"
#include "store_port.hpp"

namespace rhubarbpath {

/// What both daemons are made of: loop, links, store, membership, and the operators' HTTP paths.
class daemon_base {
 public:
  struct options {
    member_info self;
    std::string http_address;
    bool keeps_view{false};
    std::vector<vm_list_entry> seeds;
    std::function<bool(const vm_id&)> same_kind;
  };

  daemon_base(const daemon_settings& settings, options opts);
  daemon_base(const daemon_base&) = delete;
  daemon_base(daemon_base&&) = delete;
  daemon_base& operator=(const daemon_base&) = delete;
  daemon_base& operator=(daemon_base&&) = delete;
  virtual ~daemon_base() = default;

  /// Runs until the daemon has drained; returns the exit status.
  int serve();

 protected:
  virtual void on_peer_message(const member_info& from, const peer::message& message) = 0;
  virtual void on_peer_lost(const vm_id& vm) = 0;
  virtual void on_live(const live_list_changed& event) = 0;
  virtual void on_view(const view_adopted& event) = 0;
  virtual void on_document(std::shared_ptr<const environment_document> document,
                           const versioned_document& versioned) = 0;
  virtual void on_vm_list(const std::vector<listed_vm>& listed) = 0;
  /// Serves a path that is not `/healthz`, `/readyz` or `/metrics`.
  virtual void on_http(const http_request& request, const http_responder& reply) = 0;
  /// Id and peer address of this kind of daemon on a listed VM; nothing when it has none.
  [[nodiscard]] virtual std::optional<vm_list_entry> peer_hint(const listed_vm& vm) const = 0;
  /// SIGTERM arrived: finish what is in progress, then call `exit_now`.
  virtual void on_drain() = 0;
  /// Gauges that are read when `/metrics` is.
  virtual void update_metrics() = 0;
  /// Connections that the daemon has opened, apart from those to the store and to its peers.
  [[nodiscard]] virtual std::size_t own_connections() const { return 0; }

  /// Tells the peers and ends the loop.
  void exit_now(int status);
  [[nodiscard]] bool draining() const noexcept { return draining_; }

  const daemon_settings settings_;
  const options options_;
  event_loop loop_;
  random_source random_;
  metrics metrics_;
  http_client store_http_;
  store_port store_;
  peer_mesh mesh_;
  cluster_node cluster_;

 private:
  void handle_http(const http_request& request, const http_responder& reply);
  void adopt(const versioned_document& versioned);
  void poll_vm_list();
  void begin_drain();

  std::shared_ptr<client_limits> limits_;
  http_server http_;
  timer_handle vm_list_timer_;
  timer_handle exit_timer_;
  bool draining_{false};
  bool document_known_{false};
  int exit_status_{0};
};

/// The incarnation of a process started now: microseconds since the Unix epoch.
[[nodiscard]] incarnation new_incarnation();

}  // namespace rhubarbpath
