#include "scheduler_daemon.hpp"
#include "shared/daemon_main.hpp"

int main(int argc, char** argv) {
  try {
    return rhubarbpath::daemon_main<rhubarbpath::scheduler_daemon>(
        argc, argv, "rhubarb-scheduler",
        "Places jobs in the failure domains whose lease it holds. Example: rhubarb-scheduler --settings "
        "vm1.yaml");
  } catch (const std::exception& error) {
    rhubarbpath::log(rhubarbpath::log_level::error, error.what());
    return 1;
  }
}
