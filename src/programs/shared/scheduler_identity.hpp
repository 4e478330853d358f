#pragma once

#include "rhubarbpath/state/ids.hpp"

namespace rhubarbpath {

/// Id of the scheduler process on a VM. It differs from the entry process's id, which is the VM's own,
/// because both speak on the same links.
[[nodiscard]] inline vm_id scheduler_id(const vm_id& vm) {
  return vm_id{vm.value() + "/scheduler"};
}

}  // namespace rhubarbpath
