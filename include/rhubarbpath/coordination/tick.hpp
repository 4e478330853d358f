#pragma once

namespace rhubarbpath {

/// Timer event, passed to a component when its `next_deadline()` has passed.
struct tick {};

}  // namespace rhubarbpath
