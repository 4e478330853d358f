#pragma once

#include <functional>
#include <map>
#include <string>

#include "rhubarbpath/transport/http_client.hpp"
#include "store_stand_in.hpp"

namespace rhubarbpath::soak {

/// Writes new versions of the configuration and probes which of them the processes use.
class config_checks {
 public:
  config_checks(event_loop& loop, store_stand_in& store, std::function<void(const std::string&)> violation);

  /// Writes the next configuration. Each version adds one route named after it and keeps all earlier ones.
  void write();
  [[nodiscard]] int version() const noexcept { return version_; }
  /// Probes a process for the route of the newest configuration that it has been seen to serve and for those
  /// of the latest two configurations. `highest_seen` must outlive the probes.
  void probe(const std::string& name, const std::string& address, int& highest_seen);

 private:
  void probe(const std::string& name, const std::string& address, int& highest_seen, int version);

  event_loop& loop_;
  store_stand_in& store_;
  std::function<void(const std::string&)> violation_;
  http_client client_;
  int version_{0};
  std::map<int, instant> written_at_;
};

}  // namespace rhubarbpath::soak
