#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "rhubarbpath/state/store.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath::standin {

/// An in-memory key-value store with compare-and-swap, leases and watches.
class store_model {
 public:
  using watch_callback = std::function<void(store_response)>;

  /// Executes a request and returns its response. A `store_watch` does not wait here; use `watch`.
  store_response handle(const store_request& request, instant now);
  /// Calls `answer` when the key changes, or with `store_unchanged` when the wait ends.
  void watch(const store_watch& request, instant now, watch_callback answer);
  /// Removes expired leases with their rows and answers expired watches.
  void advance(instant now);

 private:
  struct lease {
    duration time_to_live{};
    instant expires{};
  };
  struct stored_row {
    store_row row;
    store_lease_id bound_to;
  };
  struct waiting_watch {
    store_watch request;
    instant expires{};
    watch_callback answer;
  };

  store_response on(const store_get& request, instant now);
  store_response on(const store_put& request, instant now);
  store_response on(const store_erase& request, instant now);
  store_response on(const store_list& request, instant now);
  store_response on(const store_lease_grant& request, instant now);
  store_response on(const store_lease_renew& request, instant now);
  store_response on(const store_watch& request, instant now);

  [[nodiscard]] revision revision_of(const std::string& key) const;
  void notify(const std::string& key);

  std::map<std::string, stored_row> rows_;
  std::map<store_lease_id, lease> leases_;
  std::vector<waiting_watch> watches_;
  std::uint64_t last_revision_{0};
  std::uint64_t last_lease_{0};
};

}  // namespace rhubarbpath::standin
