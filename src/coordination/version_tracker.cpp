#include "rhubarbpath/coordination/version_tracker.hpp"

#include <algorithm>

namespace rhubarbpath {

namespace {

/// Where less is permitted, the store is asked as often as here.
constexpr duration min_apply_limit{std::chrono::milliseconds{800}};
/// Part of the permitted time that is left for the inaccuracy of clocks and links.
constexpr duration apply_margin{std::chrono::milliseconds{100}};
/// Time for the answer to a watch that waited as long as it may, and for that to a check.
constexpr duration answer_time{std::chrono::milliseconds{200}};
/// Each watch is a call to the store, so its wait is as long as the permitted time allows.
constexpr duration max_watch_wait{std::chrono::milliseconds{1500}};

}  // namespace

version_tracker::options version_tracker::options_for(duration apply_limit) {
  options opts;
  opts.max_age = std::max(apply_limit, min_apply_limit) - apply_margin;
  opts.check_after = std::min(opts.max_age - answer_time, max_watch_wait + answer_time);
  return opts;
}

duration version_tracker::watch_wait() const {
  return opts_.check_after - answer_time;
}

void version_tracker::hold(document_version version, instant now) {
  held_ = std::max(held_, version);
  if (!newer_) {
    return;
  }
  if (newer_->version <= held_) {
    newer_.reset();
  } else {
    // The VM's own watch works, so it gets time for the newer version as well.
    newer_->fetch_at = now + opts_.announcement_grace + newer_->transfer;
  }
}

void version_tracker::confirm(instant at) {
  confirmed_at_ = std::max(confirmed_at_.value_or(at), at);
}

void version_tracker::announced(const announcement& heard, instant now) {
  if (heard.version == held_ && heard.confirmed_at) {
    confirm(*heard.confirmed_at);
  }
  if (heard.version <= held_ || (newer_ && heard.version < newer_->version)) {
    return;
  }
  if (!newer_) {
    const bool has_version = held_ != document_version{};
    const auto grace = has_version ? opts_.announcement_grace + heard.transfer : duration::zero();
    newer_ = {.fetch_at = now + grace};
  }
  newer_->version = heard.version;
  newer_->peer = heard.peer;
  newer_->transfer = heard.transfer;
}

std::optional<std::string> version_tracker::fetch_due(instant now) {
  if (!newer_ || newer_->fetching || now < newer_->fetch_at) {
    return std::nullopt;
  }
  newer_->fetching = true;
  newer_->fetched_version = newer_->version;
  return newer_->peer;
}

void version_tracker::fetched() {
  if (!newer_) {
    return;
  }
  if (newer_->version == newer_->fetched_version) {
    newer_.reset();
  } else {
    newer_->fetching = false;
  }
}

void version_tracker::fetch_failed(instant now) {
  if (!newer_) {
    return;
  }
  if (++newer_->failed_fetches >= opts_.max_failed_fetches) {
    newer_.reset();
    return;
  }
  newer_->fetching = false;
  newer_->fetch_at = now + opts_.fetch_retry_pause;
}

bool version_tracker::check_due(instant now) {
  const bool aged = !confirmed_at_ || now - *confirmed_at_ >= opts_.check_after;
  const bool failing = outdated_since_ && now - *outdated_since_ >= opts_.check_limit;
  if (!aged || now - last_check_ < (failing ? opts_.outage_check_interval : opts_.check_interval)) {
    return false;
  }
  last_check_ = now;
  return true;
}

version_tracker::standing version_tracker::standing_at(instant now) {
  if (confirmed_at_ && now - *confirmed_at_ <= opts_.max_age) {
    outdated_since_.reset();
    return standing::confirmed;
  }
  outdated_since_ = outdated_since_.value_or(now);
  return now - *outdated_since_ < opts_.check_limit ? standing::checking : standing::unconfirmed;
}

std::optional<duration> version_tracker::age(instant now) const {
  return confirmed_at_ ? std::optional{now - *confirmed_at_} : std::nullopt;
}

}  // namespace rhubarbpath
