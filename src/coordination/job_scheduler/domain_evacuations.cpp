#include "rhubarbpath/coordination/domain_evacuations.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbpath {

domain_evacuations::domain_evacuations(duration limit, duration order_timeout)
    : max_age_{std::max(limit - order_timeout, limit / 2)} {}

void domain_evacuations::read_all(std::set<failure_domain_id> domains, instant sent) {
  read_ = true;
  confirm(sent);
  domains_ = std::move(domains);
}

bool domain_evacuations::apply(const change& news) {
  return news.evacuated ? domains_.insert(news.domain).second : domains_.erase(news.domain) > 0;
}

void domain_evacuations::confirm(instant sent) {
  confirmed_at_ = std::max(confirmed_at_, sent);
}

std::vector<domain_evacuations::change> changed_domains(const std::set<failure_domain_id>& before,
                                                        const std::set<failure_domain_id>& after) {
  std::vector<domain_evacuations::change> changes;
  for (const auto& domain : after) {
    if (!before.contains(domain)) {
      changes.push_back({.domain = domain, .evacuated = true});
    }
  }
  for (const auto& domain : before) {
    if (!after.contains(domain)) {
      changes.push_back({.domain = domain, .evacuated = false});
    }
  }
  return changes;
}

}  // namespace rhubarbpath
