#pragma once

#include <sys/types.h>

#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rhubarbpath/state/random.hpp"
#include "rhubarbpath/transport/http_client.hpp"
#include "store_stand_in.hpp"
#include "worker.hpp"

namespace review {

/// A queue of the configuration.
struct route {
  std::string name;
  std::string prefix;
  int priority{1};
  int max_attempts{2};
};

/// The keys of the two tenants. The first one has 8 guaranteed GPUs, the second one none.
inline const std::string tenant_a_key{"key-a"};
inline const std::string tenant_b_key{"key-b"};

/// A client's answer; status 0 means that none came.
struct reply {
  int status{0};
  std::string body;
};

/// A small deployment on loopback: `rhubarb-edge` processes, and stand-ins of the store, the operator, the
/// platform that restarts processes, the workers and the clients.
class world {
 public:
  struct options {
    int vms{3};
    int workers{2};
    int memory_limit_mb{260};
  };

  world(const std::string& record_path, options opts);
  world(const world&) = delete;
  world(world&&) = delete;
  world& operator=(const world&) = delete;
  world& operator=(world&&) = delete;
  ~world();

  /// Starts the processes and waits until all are ready. Returns false if they don't become so.
  [[nodiscard]] bool start();
  void run_for(milliseconds length);
  /// Runs until the condition holds, at most for `limit`. Returns whether it held.
  bool run_until(const std::function<bool()>& holds, milliseconds limit);
  void write(const std::string& line);

  void put_config(const std::vector<route>& routes);
  /// Sends a call to the `front` address of a machine; the answer appears in the returned object. The client
  /// waits for `patience`.
  std::shared_ptr<std::optional<reply>> send(int vm, const std::string& method, const std::string& path,
                                             const std::string& body = {},
                                             milliseconds patience = milliseconds{3000},
                                             const std::string& key = tenant_a_key);
  /// The same, and waits for the answer.
  reply call(int vm, const std::string& method, const std::string& path, const std::string& body = {},
             const std::string& key = tenant_a_key);
  /// Hands a job in like a client of the users' pages: up to four retries, each at another machine.
  [[nodiscard]] bool submit(const std::string& path, const std::string& id, const json& body,
                            std::vector<step_facts> steps, const std::string& key = tenant_a_key);

  [[nodiscard]] double seconds() const;
  [[nodiscard]] instant now() const { return loop_.now(); }
  [[nodiscard]] std::vector<std::unique_ptr<worker>>& workers() { return workers_; }
  /// The worker crashes and starts again after `down` at the same address, as a new incarnation with an id of
  /// its own. The entry of the old one is removed after three heartbeats of silence.
  void crash_worker(std::size_t number, milliseconds down);
  /// Cuts a worker off; the platform removes its entry after three heartbeats of silence.
  void cut_worker(std::size_t number);
  [[nodiscard]] rhubarbpath::soak::store_stand_in& store() { return store_; }
  [[nodiscard]] ledger& book() { return book_; }
  [[nodiscard]] int tasks_done() const { return book_.all_done(); }
  [[nodiscard]] int vms() const { return opts_.vms; }
  /// How often the process of each machine ended by itself or was killed for its memory.
  [[nodiscard]] std::vector<int> ends_of_processes() const;
  [[nodiscard]] int ready_machines() const;

 private:
  struct machine {
    std::string name;
    std::string address;
    std::string settings_path;
    std::string log_path;
    pid_t process{0};
    int ends{0};
    instant restart_at{};
    bool ready{false};
  };

  [[nodiscard]] bool add_worker(std::size_t number, worker::options opts);
  void serve_store(const rhubarbpath::http_request& request, const rhubarbpath::http_responder& reply);
  void write_settings(const machine& each, const std::vector<std::string>& seeds) const;
  void launch(machine& each);
  /// What the platform does: restarts ended processes, kills one that is over its memory.
  void supervise();
  void probe_ready();

  options opts_;
  std::string folder_;
  std::string network_;
  std::ofstream record_;
  rhubarbpath::event_loop loop_;
  rhubarbpath::random_source random_{1};
  instant begun_;
  rhubarbpath::soak::store_stand_in store_;
  rhubarbpath::http_client client_;
  /// What the machines speak to: passes calls on to the store, but no value above `valueBytes`.
  rhubarbpath::http_server store_front_;
  ledger book_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::vector<machine> machines_;
  int version_{0};
  int crashes_{0};
  rhubarbpath::timer_handle supervise_timer_;
  rhubarbpath::timer_handle ready_timer_;
};

/// Exit codes of a case.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

}  // namespace review
