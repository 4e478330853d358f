#pragma once

namespace rhubarbpath {

/// Whether a team that has `own` of what all teams share may take `count` more of the rest, `left`. A team
/// may have as much as is left for all others: the first that takes all it can gets half of the whole, the
/// next a quarter, and some is left for each further one.
template <class Number>
[[nodiscard]] constexpr bool leaves_as_much_for_others(Number own, Number count, Number left) {
  return count <= left && own + count <= left - count;
}

}  // namespace rhubarbpath
