#pragma once

namespace rhubarbpath {

/// Sent to a part when its `next_deadline()` has passed.
struct tick {};

}  // namespace rhubarbpath
