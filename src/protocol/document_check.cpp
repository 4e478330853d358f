#include "rhubarbpath/protocol/document_check.hpp"

#include <algorithm>
#include <utility>

#include "rhubarbpath/coordination/guarantee_plan.hpp"

namespace rhubarbpath {

namespace {

int line_of(const parsed_document& parsed, const guarantee_ref& guarantee) {
  for (std::size_t t = 0; t < parsed.document.teams.size(); ++t) {
    if (parsed.document.teams[t].id == guarantee.team) {
      return parsed.lines.guarantees[t].at(static_cast<std::size_t>(guarantee.guarantee));
    }
  }
  return 1;
}

}  // namespace

std::vector<document_problem> check_document(const parsed_document& parsed) {
  if (!parsed.ok()) {
    return parsed.problems;
  }
  std::vector<document_problem> problems;
  for (auto& problem : check_guarantees(parsed.document).problems) {
    problems.push_back({line_of(parsed, problem.guarantee), std::move(problem.reason)});
  }
  std::stable_sort(problems.begin(), problems.end(),
                   [](const auto& left, const auto& right) { return left.line < right.line; });
  return problems;
}

}  // namespace rhubarbpath
