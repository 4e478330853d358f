#include "vm_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <utility>

namespace rhubarbpath::review {

vm_process::vm_process(std::string program, std::string settings, std::string log)
    : program_{std::move(program)}, settings_{std::move(settings)}, log_{std::move(log)} {}

vm_process::~vm_process() {
  if (alive()) {
    send(SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

bool vm_process::start() {
  constexpr mode_t log_mode = 0644;
  constexpr int exec_failed = 127;
  const auto child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, log_mode);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    setenv("RHUBARBPATH_SETTINGS", settings_.c_str(), 1);
    execl(program_.c_str(), program_.c_str(), nullptr);
    _exit(exec_failed);
  }
  pid_ = child > 0 ? child : 0;
  return pid_ > 0;
}

void vm_process::send(int signal_number) const {
  if (pid_ > 0) {
    kill(pid_, signal_number);
  }
}

bool vm_process::alive() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = 0;
  }
  return pid_ > 0;
}

}  // namespace rhubarbpath::review
