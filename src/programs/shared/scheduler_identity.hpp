#pragma once

#include <string>
#include <string_view>

#include "rhubarbpath/state/ids.hpp"

namespace rhubarbpath {

inline constexpr std::string_view scheduler_suffix = "/scheduler";

/// Id of the scheduler process on a VM. It differs from the entry process's id, which is the VM's own,
/// because both speak on the same links.
[[nodiscard]] inline vm_id scheduler_id(const vm_id& vm) {
  return vm_id{vm.value() + std::string{scheduler_suffix}};
}

[[nodiscard]] inline bool is_scheduler(const vm_id& id) {
  return id.value().ends_with(scheduler_suffix);
}

}  // namespace rhubarbpath
