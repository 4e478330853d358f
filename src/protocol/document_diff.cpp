#include "rhubarbpath/protocol/document_diff.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "rhubarbpath/protocol/document_yaml.hpp"

namespace rhubarbpath {

namespace {

constexpr std::size_t max_listed_ids = 4;

template <class T>
using index_by_id = std::map<std::string_view, const T*>;

template <class T>
index_by_id<T> make_index(const std::vector<T>& items) {
  index_by_id<T> result;
  for (const auto& item : items) {
    result.emplace(item.id.value(), &item);
  }
  return result;
}

/// Calls `visit(before, after)` for each id of either list; the item that is absent is null. Visits the ids
/// of `before` in order, then those that only `after` has.
template <class T, class Visit>
void for_each_pair(const std::vector<T>& before, const std::vector<T>& after, Visit visit) {
  const auto old_items = make_index(before);
  const auto new_items = make_index(after);
  for (const auto& [id, item] : old_items) {
    const auto found = new_items.find(id);
    visit(item, found == new_items.end() ? nullptr : found->second);
  }
  for (const auto& [id, item] : new_items) {
    if (!old_items.contains(id)) {
      visit(static_cast<const T*>(nullptr), item);
    }
  }
}

std::string list_ids(const std::vector<std::string>& ids) {
  if (ids.size() <= max_listed_ids) {
    return fmt::format("{}", fmt::join(ids, ", "));
  }
  return fmt::format("{} and {} more", fmt::join(ids.begin(), ids.begin() + max_listed_ids, ", "),
                     ids.size() - max_listed_ids);
}

/// Formats a count with its noun: "1 worker", "2 workers".
std::string format_count(std::size_t count, std::string_view word) {
  return fmt::format("{} {}{}", count, word, count == 1 ? "" : "s");
}

std::string duration_or_none(const std::optional<duration>& value) {
  return value ? format_duration(*value) : "none";
}

std::string accelerator_limit(int limit) {
  return limit == 0 ? "none" : fmt::format("{}", limit);
}

std::string_view proximity_name(proximity within) {
  constexpr std::string_view names[] = {"worker", "rack", "failure_domain"};
  return names[static_cast<std::size_t>(within)];
}

std::string guarantee_id(const team_id& team, const guarantee_spec& guarantee) {
  auto id = fmt::format("{}/{}x{}-{}", team.value(), guarantee.shape.members,
                        guarantee.shape.accelerators_per_member, proximity_name(guarantee.shape.within));
  if (guarantee.failure_domain) {
    id += "@" + guarantee.failure_domain->value();
  }
  return id;
}

/// Differences of one subject, joined into one sentence. The effect is the first one that is not `none`.
class difference_summary {
 public:
  void add(std::string part, change_effect effect = change_effect::none) {
    parts_.push_back(std::move(part));
    if (effect_ == change_effect::none) {
      effect_ = effect;
    }
  }

  template <class T>
  void add_if_changed(std::string_view what, const T& before, const T& after) {
    if (before != after) {
      add(fmt::format("{} changes from {} to {}", what, before, after));
    }
  }

  [[nodiscard]] bool empty() const noexcept { return parts_.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return parts_.size(); }
  [[nodiscard]] std::string text() const { return fmt::format("{}", fmt::join(parts_, "; ")); }
  [[nodiscard]] change_effect effect() const noexcept { return effect_; }

 private:
  std::vector<std::string> parts_;
  change_effect effect_{change_effect::none};
};

/// Differences between the workers of a rack that both documents have.
struct rack_difference {
  std::vector<std::string> added;
  std::vector<std::string> removed;
  std::vector<std::pair<std::string, difference_summary>> changed;

  [[nodiscard]] std::size_t size() const noexcept { return added.size() + removed.size() + changed.size(); }
};

class document_comparer {
 public:
  document_comparer(const environment_document& before, const environment_document& after)
      : before_{before}, after_{after} {}

  std::vector<document_change> compare() {
    compare_regions();
    compare_failure_domains();
    compare_racks();
    compare_teams();
    compare_services();
    compare_job_classes();
    compare_budgets();
    return std::move(changes_);
  }

 private:
  void add(change_subject subject, change_action action, std::string id, change_effect effect,
           std::string sentence) {
    changes_.push_back({subject, action, std::move(id), effect, std::move(sentence)});
  }

  void compare_regions() {
    for_each_pair(before_.regions, after_.regions, [&](const auto* old_region, const auto* new_region) {
      if (old_region == nullptr) {
        add(change_subject::region, change_action::add, new_region->id.value(), change_effect::none,
            fmt::format("Region {} is added.", new_region->id.value()));
      } else if (new_region == nullptr) {
        add(change_subject::region, change_action::remove, old_region->id.value(), change_effect::none,
            fmt::format("Region {} is removed.", old_region->id.value()));
      }
    });
  }

  static std::string domain_size(const environment_document& document, const failure_domain_id& id) {
    std::set<rack_id> racks;
    for (const auto& rack : document.racks) {
      if (rack.failure_domain == id) {
        racks.insert(rack.id);
      }
    }
    const auto workers = std::count_if(document.workers.begin(), document.workers.end(),
                                       [&](const auto& worker) { return racks.contains(worker.rack); });
    return fmt::format("{} and {}", format_count(racks.size(), "rack"),
                       format_count(static_cast<std::size_t>(workers), "worker"));
  }

  void compare_failure_domains() {
    for_each_pair(before_.failure_domains, after_.failure_domains,
                  [&](const auto* old_domain, const auto* new_domain) {
                    if (old_domain == nullptr) {
                      added_domains_.insert(new_domain->id);
                      add(change_subject::failure_domain, change_action::add, new_domain->id.value(),
                          change_effect::none,
                          fmt::format("Failure domain {} with {} is added.", new_domain->id.value(),
                                      domain_size(after_, new_domain->id)));
                    } else if (new_domain == nullptr) {
                      removed_domains_.insert(old_domain->id);
                      add(change_subject::failure_domain, change_action::remove, old_domain->id.value(),
                          change_effect::stops_work,
                          fmt::format("Failure domain {} with {} is removed; jobs running there end.",
                                      old_domain->id.value(), domain_size(before_, old_domain->id)));
                    } else if (old_domain->region != new_domain->region) {
                      add(change_subject::failure_domain, change_action::change, old_domain->id.value(),
                          change_effect::none,
                          fmt::format("Failure domain {} moves from region {} to {}.", old_domain->id.value(),
                                      old_domain->region.value(), new_domain->region.value()));
                    }
                  });
  }

  void compare_racks() {
    const auto differences = compare_workers();
    const auto workers_in = [](const environment_document& document, const rack_id& rack) {
      const auto count = std::count_if(document.workers.begin(), document.workers.end(),
                                       [&](const auto& worker) { return worker.rack == rack; });
      return format_count(static_cast<std::size_t>(count), "worker");
    };
    for_each_pair(before_.racks, after_.racks, [&](const auto* old_rack, const auto* new_rack) {
      if (old_rack == nullptr) {
        if (!added_domains_.contains(new_rack->failure_domain)) {
          add(change_subject::rack, change_action::add, new_rack->id.value(), change_effect::none,
              fmt::format("Rack {} with {} is added to failure domain {}.", new_rack->id.value(),
                          workers_in(after_, new_rack->id), new_rack->failure_domain.value()));
        }
      } else if (new_rack == nullptr) {
        if (!removed_domains_.contains(old_rack->failure_domain)) {
          add(change_subject::rack, change_action::remove, old_rack->id.value(), change_effect::stops_work,
              fmt::format("Rack {} with {} is removed from failure domain {}; jobs running there end.",
                          old_rack->id.value(), workers_in(before_, old_rack->id),
                          old_rack->failure_domain.value()));
        }
      } else {
        const auto found = differences.find(old_rack->id);
        compare_rack(*old_rack, *new_rack, found == differences.end() ? rack_difference{} : found->second);
      }
    });
  }

  /// Groups the changes of workers by rack. Leaves out workers that are added or removed with their rack.
  std::map<rack_id, rack_difference> compare_workers() {
    const auto old_racks = make_index(before_.racks);
    const auto new_racks = make_index(after_.racks);
    const auto in_both = [&](const rack_id& rack) {
      return old_racks.contains(rack.value()) && new_racks.contains(rack.value());
    };
    std::map<rack_id, rack_difference> differences;
    for_each_pair(before_.workers, after_.workers, [&](const auto* old_worker, const auto* new_worker) {
      if (old_worker == nullptr) {
        if (in_both(new_worker->rack)) {
          differences[new_worker->rack].added.push_back(new_worker->id.value());
        }
      } else if (new_worker == nullptr) {
        if (in_both(old_worker->rack)) {
          differences[old_worker->rack].removed.push_back(old_worker->id.value());
        }
      } else if (*old_worker != *new_worker) {
        // A worker that moves out of a removed rack is reported under its new rack.
        const auto& reported_rack = in_both(old_worker->rack) ? old_worker->rack : new_worker->rack;
        differences[reported_rack].changed.emplace_back(old_worker->id.value(),
                                                        worker_differences(*old_worker, *new_worker));
      }
    });
    return differences;
  }

  static difference_summary worker_differences(const worker_spec& before, const worker_spec& after) {
    difference_summary parts;
    if (before.rack != after.rack) {
      parts.add(fmt::format("moves from rack {} to {}", before.rack.value(), after.rack.value()),
                change_effect::stops_work);
    }
    if (before.address != after.address) {
      parts.add(fmt::format("address changes from {} to {}", before.address, after.address),
                change_effect::stops_work);
    }
    if (before.accelerators != after.accelerators) {
      parts.add(fmt::format("accelerators change from {} to {}", before.accelerators, after.accelerators),
                after.accelerators < before.accelerators ? change_effect::stops_work : change_effect::none);
    }
    parts.add_if_changed("service", before.service.value(), after.service.value());
    parts.add_if_changed("number of cores", before.cores, after.cores);
    parts.add_if_changed("memory in GiB", before.memory_gib, after.memory_gib);
    return parts;
  }

  void compare_rack(const rack_spec& before, const rack_spec& after, const rack_difference& difference) {
    const bool moved = before.failure_domain != after.failure_domain;
    if (!moved && difference.size() == 1) {
      add_single_worker(before.id, difference);
      return;
    }
    difference_summary parts;
    if (moved) {
      parts.add(fmt::format("moves from failure domain {} to {}, and jobs running there end",
                            before.failure_domain.value(), after.failure_domain.value()),
                change_effect::stops_work);
    }
    if (!difference.added.empty()) {
      parts.add(fmt::format("{} added ({})", format_count(difference.added.size(), "worker"),
                            list_ids(difference.added)));
    }
    if (!difference.removed.empty()) {
      parts.add(fmt::format("{} removed ({}), and jobs running there end",
                            format_count(difference.removed.size(), "worker"), list_ids(difference.removed)),
                change_effect::stops_work);
    }
    add_changed_workers(difference, parts);
    if (!parts.empty()) {
      add(change_subject::rack, change_action::change, before.id.value(), parts.effect(),
          fmt::format("Rack {}: {}.", before.id.value(), parts.text()));
    }
  }

  /// A change in a rack's defaults changes all its workers; the first stands for the others.
  static void add_changed_workers(const rack_difference& difference, difference_summary& parts) {
    if (difference.changed.empty()) {
      return;
    }
    auto effect = change_effect::none;
    for (const auto& [id, worker] : difference.changed) {
      effect = effect == change_effect::none ? worker.effect() : effect;
    }
    const auto& [first_id, first] = difference.changed.front();
    parts.add(fmt::format("{} changed, for example {}: {}{}",
                          format_count(difference.changed.size(), "worker"), first_id, first.text(),
                          effect == change_effect::stops_work ? ", and jobs running there end" : ""),
              effect);
  }

  void add_single_worker(const rack_id& rack, const rack_difference& difference) {
    if (!difference.added.empty()) {
      const auto& id = difference.added.front();
      add(change_subject::worker, change_action::add, id, change_effect::none,
          fmt::format("Worker {} is added to rack {}.", id, rack.value()));
    } else if (!difference.removed.empty()) {
      const auto& id = difference.removed.front();
      add(change_subject::worker, change_action::remove, id, change_effect::stops_work,
          fmt::format("Worker {} is removed from rack {}; jobs running there end.", id, rack.value()));
    } else {
      const auto& [id, parts] = difference.changed.front();
      add(change_subject::worker, change_action::change, id, parts.effect(),
          fmt::format("Worker {}: {}{}.", id, parts.text(),
                      parts.effect() == change_effect::stops_work ? ", and jobs running there end" : ""));
    }
  }

  void compare_teams() {
    for_each_pair(before_.teams, after_.teams, [&](const auto* old_team, const auto* new_team) {
      if (old_team == nullptr) {
        add(change_subject::team, change_action::add, new_team->id.value(), change_effect::none,
            fmt::format("Team {} with {} is added.", new_team->id.value(),
                        format_count(new_team->guarantees.size(), "guarantee")));
      } else if (new_team == nullptr) {
        const bool guaranteed = !old_team->guarantees.empty();
        add(change_subject::team, change_action::remove, old_team->id.value(),
            guaranteed ? change_effect::breaks_guarantee : change_effect::stops_work,
            fmt::format("Team {} with {} is removed; its jobs and requests are refused from then on.",
                        old_team->id.value(), format_count(old_team->guarantees.size(), "guarantee")));
      } else {
        compare_team(*old_team, *new_team);
        compare_guarantees(*old_team, *new_team);
      }
    });
  }

  void compare_team(const team_spec& before, const team_spec& after) {
    difference_summary parts;
    parts.add_if_changed("max_accelerators", accelerator_limit(before.max_accelerators),
                         accelerator_limit(after.max_accelerators));
    parts.add_if_changed("max_waiting_jobs", before.max_waiting_jobs, after.max_waiting_jobs);
    parts.add_if_changed("max_queued_requests", before.max_queued_requests, after.max_queued_requests);
    if (!parts.empty()) {
      add(change_subject::team, change_action::change, before.id.value(), parts.effect(),
          fmt::format("Team {}: {}.", before.id.value(), parts.text()));
    }
  }

  void compare_guarantees(const team_spec& before, const team_spec& after) {
    std::map<std::string, std::pair<int, int>> counts;
    for (const auto& guarantee : before.guarantees) {
      counts[guarantee_id(before.id, guarantee)].first += guarantee.count;
    }
    for (const auto& guarantee : after.guarantees) {
      counts[guarantee_id(after.id, guarantee)].second += guarantee.count;
    }
    for (const auto& [id, count] : counts) {
      const auto [old_count, new_count] = count;
      if (old_count == 0) {
        add(change_subject::guarantee, change_action::add, id, change_effect::none,
            fmt::format("Guarantee {} is added with count {}.", id, new_count));
      } else if (new_count == 0) {
        add(change_subject::guarantee, change_action::remove, id, change_effect::breaks_guarantee,
            fmt::format("Guarantee {} with count {} is removed.", id, old_count));
      } else if (old_count != new_count) {
        add(change_subject::guarantee, change_action::change, id,
            new_count < old_count ? change_effect::breaks_guarantee : change_effect::none,
            fmt::format("The count of guarantee {} changes from {} to {}.", id, old_count, new_count));
      }
    }
  }

  void compare_services() {
    for_each_pair(before_.services, after_.services, [&](const auto* old_service, const auto* new_service) {
      if (old_service == nullptr) {
        add(change_subject::service, change_action::add, new_service->id.value(), change_effect::none,
            fmt::format("Service {} with {} is added.", new_service->id.value(),
                        new_service->classes.size() == 1
                            ? std::string{"1 class"}
                            : fmt::format("{} classes", new_service->classes.size())));
      } else if (new_service == nullptr) {
        add(change_subject::service, change_action::remove, old_service->id.value(),
            change_effect::stops_work,
            fmt::format("Service {} is removed; its requests are refused from then on.",
                        old_service->id.value()));
      } else {
        compare_service(*old_service, *new_service);
        compare_request_classes(*old_service, *new_service);
      }
    });
  }

  void compare_service(const service_spec& before, const service_spec& after) {
    difference_summary parts;
    parts.add_if_changed("slots_per_target", before.slots_per_target, after.slots_per_target);
    parts.add_if_changed("connections_per_target", before.connections_per_target,
                         after.connections_per_target);
    if (const auto order = changed_order(before.classes, after.classes)) {
      parts.add(fmt::format("the priority order becomes {}", *order));
    }
    if (!parts.empty()) {
      add(change_subject::service, change_action::change, before.id.value(), parts.effect(),
          fmt::format("Service {}: {}.", before.id.value(), parts.text()));
    }
  }

  /// Compares the order of the classes that both lists have, and returns the new order if it differs.
  template <class T>
  static std::optional<std::string> changed_order(const std::vector<T>& before, const std::vector<T>& after) {
    const auto old_index = make_index(before);
    const auto new_index = make_index(after);
    const auto shared = [](const std::vector<T>& items, const index_by_id<T>& other) {
      std::vector<std::string_view> ids;
      for (const auto& item : items) {
        if (other.contains(item.id.value())) {
          ids.push_back(item.id.value());
        }
      }
      return ids;
    };
    const auto new_order = shared(after, old_index);
    if (shared(before, new_index) == new_order) {
      return std::nullopt;
    }
    return fmt::format("{}", fmt::join(new_order, ", "));
  }

  void compare_request_classes(const service_spec& before, const service_spec& after) {
    for_each_pair(before.classes, after.classes, [&](const auto* old_class, const auto* new_class) {
      const auto& known = old_class != nullptr ? *old_class : *new_class;
      auto id = fmt::format("{}/{}", before.id.value(), known.id.value());
      if (old_class == nullptr) {
        add(change_subject::request_class, change_action::add, id, change_effect::none,
            fmt::format("Request class {} is added.", id));
      } else if (new_class == nullptr) {
        add(change_subject::request_class, change_action::remove, id, change_effect::stops_work,
            fmt::format("Request class {} is removed; its requests are refused from then on.", id));
      } else {
        compare_request_class(id, *old_class, *new_class);
      }
    });
  }

  void compare_request_class(const std::string& id, const request_class_spec& before,
                             const request_class_spec& after) {
    difference_summary parts;
    if (before.non_idempotent != after.non_idempotent) {
      parts.add(after.non_idempotent ? "becomes non-idempotent, so each request runs at most once"
                                     : "is no longer non-idempotent, so a request may run more than once",
                after.non_idempotent ? change_effect::none : change_effect::weakens_promise);
    }
    parts.add_if_changed("deadline", duration_or_none(before.deadline), duration_or_none(after.deadline));
    parts.add_if_changed("queue_limit", before.queue_limit, after.queue_limit);
    if (!parts.empty()) {
      add(change_subject::request_class, change_action::change, id, parts.effect(),
          fmt::format("Request class {}: {}.", id, parts.text()));
    }
  }

  void compare_job_classes() {
    for_each_pair(before_.job_classes, after_.job_classes, [&](const auto* old_class, const auto* new_class) {
      if (old_class == nullptr) {
        add(change_subject::job_class, change_action::add, new_class->id.value(), change_effect::none,
            fmt::format("Job class {} is added.", new_class->id.value()));
      } else if (new_class == nullptr) {
        add(change_subject::job_class, change_action::remove, old_class->id.value(),
            change_effect::stops_work,
            fmt::format("Job class {} is removed; its jobs are refused from then on.",
                        old_class->id.value()));
      } else if (old_class->finish_by != new_class->finish_by) {
        add(change_subject::job_class, change_action::change, old_class->id.value(), change_effect::none,
            fmt::format("Job class {}: finish_by changes from {} to {} after midnight UTC.",
                        old_class->id.value(), duration_or_none(old_class->finish_by),
                        duration_or_none(new_class->finish_by)));
      }
    });
    if (const auto order = changed_order(before_.job_classes, after_.job_classes)) {
      // Ids cannot contain '/', so this name cannot equal that of a class.
      add(change_subject::job_class, change_action::change, "all/order", change_effect::none,
          fmt::format("The priority order of the job classes becomes {}.", *order));
    }
  }

  template <class T>
  void compare_budget(std::string_view name, T before, T after) {
    if (before != after) {
      add(change_subject::budget, change_action::change, std::string{name}, change_effect::none,
          fmt::format("Budget {} changes from {} to {}.", name, before, after));
    }
  }

  void compare_budgets() {
    const auto& old_budget = before_.budget;
    const auto& new_budget = after_.budget;
    const auto percent = [](double share) { return fmt::format("{:.6g}%", share * 100); };
    compare_budget("set_aside", percent(old_budget.set_aside_share), percent(new_budget.set_aside_share));
    compare_budget("migrations_per_hour", old_budget.migrations_per_hour, new_budget.migrations_per_hour);
    compare_budget("preemptions_per_hour", old_budget.preemptions_per_hour, new_budget.preemptions_per_hour);
    compare_budget("retries", percent(old_budget.retry_share), percent(new_budget.retry_share));
    compare_budget("hedges", percent(old_budget.hedge_share), percent(new_budget.hedge_share));
  }

  const environment_document& before_;
  const environment_document& after_;
  std::set<failure_domain_id> added_domains_;
  std::set<failure_domain_id> removed_domains_;
  std::vector<document_change> changes_;
};

}  // namespace

std::string document_change::name() const {
  return fmt::format("{}-{}:{}", to_string(action), to_string(subject), id);
}

std::string_view to_string(change_subject subject) noexcept {
  constexpr std::string_view names[] = {"region",    "failure_domain", "rack",    "worker",
                                        "team",      "guarantee",      "service", "request_class",
                                        "job_class", "budget"};
  return names[static_cast<std::size_t>(subject)];
}

std::string_view to_string(change_action action) noexcept {
  constexpr std::string_view names[] = {"add", "remove", "change"};
  return names[static_cast<std::size_t>(action)];
}

std::string_view to_string(change_effect effect) noexcept {
  constexpr std::string_view names[] = {"none", "breaks_guarantee", "stops_work", "weakens_promise"};
  return names[static_cast<std::size_t>(effect)];
}

std::vector<document_change> diff_documents(const environment_document& before,
                                            const environment_document& after) {
  return document_comparer{before, after}.compare();
}

std::vector<document_change> unaccepted_changes(const std::vector<document_change>& changes,
                                                const std::vector<std::string>& accepted) {
  std::vector<document_change> missing;
  for (const auto& change : changes) {
    const bool named = std::find(accepted.begin(), accepted.end(), change.name()) != accepted.end();
    if (change.needs_acceptance() && !named) {
      missing.push_back(change);
    }
  }
  return missing;
}

}  // namespace rhubarbpath
