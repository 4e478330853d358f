#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace rhubarbpath {

/// Strongly typed string identifier; identifiers with different tags do not convert to each other.
template <class Tag>
class string_id {
 public:
  string_id() = default;
  explicit string_id(std::string value) : value_{std::move(value)} {}
  explicit string_id(std::string_view value) : value_{value} {}
  explicit string_id(const char* value) : value_{value} {}

  [[nodiscard]] const std::string& value() const noexcept { return value_; }
  [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

  friend bool operator==(const string_id&, const string_id&) = default;
  friend std::strong_ordering operator<=>(const string_id& left, const string_id& right) noexcept {
    return left.value_.compare(right.value_) <=> 0;
  }

  template <class H>
  friend H AbslHashValue(H state, const string_id& id) {
    return H::combine(std::move(state), id.value_);
  }

 private:
  std::string value_;
};

/// Strongly typed 64-bit number; numbers with different tags do not convert to each other. Zero means "none
/// yet".
template <class Tag>
class number_id {
 public:
  constexpr number_id() = default;
  constexpr explicit number_id(std::uint64_t value) noexcept : value_{value} {}

  [[nodiscard]] constexpr std::uint64_t value() const noexcept { return value_; }
  [[nodiscard]] constexpr number_id next() const noexcept { return number_id{value_ + 1}; }

  // False positive: clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
  friend constexpr auto operator<=>(const number_id&,
                                    const number_id&) = default;  // NOLINT(modernize-use-nullptr)

  template <class H>
  friend H AbslHashValue(H state, const number_id& id) {
    return H::combine(std::move(state), id.value_);
  }

 private:
  std::uint64_t value_{0};
};

/// A machine that runs tasks and serves requests.
using worker_id = string_id<struct worker_id_tag>;
using rack_id = string_id<struct rack_id_tag>;
using failure_domain_id = string_id<struct failure_domain_id_tag>;
using region_id = string_id<struct region_id_tag>;
using team_id = string_id<struct team_id_tag>;
using service_id = string_id<struct service_id_tag>;
/// A request class of a service or a job class; determines the order of work under overload.
using class_id = string_id<struct class_id_tag>;
using job_id = string_id<struct job_id_tag>;
/// One process on one VM. The id is stable across restarts, which `incarnation` distinguishes.
using vm_id = string_id<struct vm_id_tag>;
/// Chosen by the caller; requests or jobs with the same key are repeats of each other.
using idempotency_key = string_id<struct idempotency_key_tag>;

/// Ownership period of one failure domain; a higher epoch fences off a lower one.
using epoch = number_id<struct epoch_tag>;
using document_version = number_id<struct document_version_tag>;
using log_index = number_id<struct log_index_tag>;
/// Store revision of a key; zero means that the key does not exist.
using revision = number_id<struct revision_tag>;
/// Attempt to run a job; answers with an older attempt are ignored.
using attempt_number = number_id<struct attempt_number_tag>;
/// Start count or start time of a process; a higher one supersedes a lower one.
using incarnation = number_id<struct incarnation_tag>;
/// Number of an agreed list of entry VMs.
using view_number = number_id<struct view_number_tag>;
/// Identifies one request inside the process that created it.
using request_id = number_id<struct request_id_tag>;
/// Identifies one store call, worker command or timer inside the process that created it.
using call_id = number_id<struct call_id_tag>;
/// Unique per write, so that a writer recognises its own write when it reads the key back.
using write_id = number_id<struct write_id_tag>;

}  // namespace rhubarbpath
