#include "guarantee_checks.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace rhubarbpath::detail {

namespace {

using domain_racks = std::map<failure_domain_id, std::vector<rack_size>>;

std::int64_t members_on_worker(const rack_size& rack, const accelerator_shape& shape) {
  return rack.accelerators_per_worker / shape.accelerators_per_member;
}

/// Number of instances of the shape that fit in the racks when they are empty.
std::int64_t shape_capacity(const std::vector<rack_size>& racks, const accelerator_shape& shape) {
  std::int64_t shapes = 0;
  std::int64_t members = 0;
  for (const auto& rack : racks) {
    const auto on_worker = members_on_worker(rack, shape);
    const auto in_rack = on_worker * rack.workers;
    members += in_rack;
    shapes += shape.within == proximity::worker ? on_worker / shape.members * rack.workers
                                                : in_rack / shape.members;
  }
  return shape.within == proximity::failure_domain ? members / shape.members : shapes;
}

std::int64_t accelerators_in(const std::vector<rack_size>& racks) {
  std::int64_t sum = 0;
  for (const auto& rack : racks) {
    sum += std::int64_t{rack.workers} * rack.accelerators_per_worker;
  }
  return sum;
}

std::string_view proximity_name(proximity within) {
  switch (within) {
    case proximity::worker:
      return "worker";
    case proximity::rack:
      return "rack";
    case proximity::failure_domain:
      return "failure domain";
  }
  return "place";
}

class guarantee_checker {
 public:
  guarantee_checker(const std::vector<rack_size>& racks, problem_list& problems) : problems_{&problems} {
    for (const auto& rack : racks) {
      domains_[rack.failure_domain].push_back(rack);
      fleet_accelerators_ += std::int64_t{rack.workers} * rack.accelerators_per_worker;
    }
  }

  void check(const team_spec& team, const guarantee_spec& guarantee, std::size_t number, int line) {
    const auto label = fmt::format("team \"{}\", guarantee {}", team.id.value(), number);
    if (!check_capacity(guarantee, label, line)) {
      return;
    }
    const auto amount = std::int64_t{guarantee.count} * guarantee.shape.accelerators();
    if (guarantee.failure_domain) {
      add_to_domain(*guarantee.failure_domain, amount, label, line);
    }
    add_to_total(fleet_sum_, fleet_accelerators_, amount, "the whole fleet", label, line);
  }

 private:
  bool check_capacity(const guarantee_spec& guarantee, const std::string& label, int line) {
    std::int64_t capacity = 0;
    for (const auto& [id, racks] : domains_) {
      if (!guarantee.failure_domain || *guarantee.failure_domain == id) {
        capacity += shape_capacity(racks, guarantee.shape);
      }
    }
    const auto scope = guarantee.failure_domain
                           ? fmt::format("failure domain \"{}\"", guarantee.failure_domain->value())
                           : std::string{"any failure domain"};
    const auto& shape = guarantee.shape;
    if (capacity == 0) {
      problems_->add(line, fmt::format("{}: {} members of {} accelerators fit in no {} of {}; accepted: a "
                                       "smaller shape, or a wider value of within",
                                       label, shape.members, shape.accelerators_per_member,
                                       proximity_name(shape.within), scope));
      return false;
    }
    if (guarantee.count > capacity) {
      problems_->add(line, fmt::format("{}: count {} is larger than {} holds; accepted: at most {}", label,
                                       guarantee.count, scope, capacity));
      return false;
    }
    return true;
  }

  void add_to_domain(const failure_domain_id& id, std::int64_t amount, const std::string& label, int line) {
    add_to_total(domain_sums_[id], accelerators_in(domains_[id]), amount,
                 fmt::format("failure domain \"{}\"", id.value()), label, line);
  }

  /// Reports only the first guarantee for which the sum exceeds the limit.
  void add_to_total(std::int64_t& sum, std::int64_t limit, std::int64_t amount, const std::string& scope,
                    const std::string& label, int line) {
    const bool was_within = sum <= limit;
    sum += amount;
    if (was_within && sum > limit) {
      problems_->add(line, fmt::format("{}: with it the guarantees of {} come to {} accelerators; accepted: "
                                       "at most its {}",
                                       label, scope, sum, limit));
    }
  }

  domain_racks domains_;
  std::map<failure_domain_id, std::int64_t> domain_sums_;
  std::int64_t fleet_sum_{0};
  std::int64_t fleet_accelerators_{0};
  problem_list* problems_;
};

void check_team_limit(const team_spec& team, int line, problem_list& problems) {
  std::int64_t guaranteed = 0;
  for (const auto& guarantee : team.guarantees) {
    guaranteed += std::int64_t{guarantee.count} * guarantee.shape.accelerators();
  }
  if (team.max_accelerators != 0 && team.max_accelerators < guaranteed) {
    problems.add(line,
                 fmt::format("team \"{}\": max_accelerators {} is below its guarantees, which come to {}; "
                             "accepted: at least {}, or 0 for no limit",
                             team.id.value(), team.max_accelerators, guaranteed, guaranteed));
  }
}

}  // namespace

void check_guarantee_sizes(const environment_document& document, const document_lines& lines,
                           const std::vector<rack_size>& racks, problem_list& problems) {
  guarantee_checker checker{racks, problems};
  for (std::size_t t = 0; t < document.teams.size(); ++t) {
    const auto& team = document.teams[t];
    for (std::size_t g = 0; g < team.guarantees.size(); ++g) {
      checker.check(team, team.guarantees[g], g + 1, lines.guarantees[t][g]);
    }
    check_team_limit(team, lines.teams[t], problems);
  }
}

}  // namespace rhubarbpath::detail
