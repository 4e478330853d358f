#pragma once

#include <sys/types.h>

#include <string>

namespace rhubarbpath::review {

/// One process of the deploy file. Signals go only to the process that this object started.
class vm_process {
 public:
  vm_process(std::string program, std::string settings, std::string log);
  vm_process(const vm_process&) = delete;
  vm_process(vm_process&&) = delete;
  vm_process& operator=(const vm_process&) = delete;
  vm_process& operator=(vm_process&&) = delete;
  ~vm_process();

  [[nodiscard]] bool start();
  void send(int signal_number) const;
  /// Whether the process has not ended yet.
  [[nodiscard]] bool alive();

 private:
  std::string program_;
  std::string settings_;
  std::string log_;
  pid_t pid_{0};
};

}  // namespace rhubarbpath::review
