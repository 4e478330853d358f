#include <fmt/format.h>

#include "command.hpp"
#include "document_file.hpp"

namespace rhubarbpath::ctl {

namespace {

int total_accelerators(const environment_document& document) {
  int sum = 0;
  for (const auto& worker : document.workers) {
    sum += worker.accelerators;
  }
  return sum;
}

int guaranteed_accelerators(const environment_document& document) {
  int sum = 0;
  for (const auto& team : document.teams) {
    for (const auto& guarantee : team.guarantees) {
      sum += guarantee.count * guarantee.shape.accelerators();
    }
  }
  return sum;
}

std::variant<checked_document, command_result> load(const std::string& path, const std::string& environment) {
  auto bytes = read_text_file(path);
  if (auto* failed = std::get_if<command_result>(&bytes)) {
    return std::move(*failed);
  }
  return check_document_text(std::get<std::string>(std::move(bytes)), path, environment);
}

}  // namespace

command_result run_check(command_line& line, const std::vector<std::string>& args) {
  TCLAP::UnlabeledValueArg<std::string> file{"FILE", "Document to check", true, "", "FILE", line.arguments()};
  line.parse(args);
  const auto loaded = load(file.getValue(), "trial");
  if (const auto* failed = std::get_if<command_result>(&loaded)) {
    return *failed;
  }
  const auto& checked = std::get<checked_document>(loaded);
  const auto& document = checked.document;
  const int accelerators = total_accelerators(document);
  const int guaranteed = guaranteed_accelerators(document);
  command_result result;
  result.text = fmt::format(
      "{}: valid; {} workers in {} racks and {} failure domains, {} of {} accelerators guaranteed to {} "
      "teams\n"
      "digest {}\n",
      file.getValue(), document.workers.size(), document.racks.size(), document.failure_domains.size(),
      guaranteed, accelerators, document.teams.size(), checked.digest);
  result.object = {{"file", file.getValue()},
                   {"digest", checked.digest},
                   {"workers", document.workers.size()},
                   {"racks", document.racks.size()},
                   {"failure_domains", document.failure_domains.size()},
                   {"teams", document.teams.size()},
                   {"accelerators", accelerators},
                   {"guaranteed_accelerators", guaranteed},
                   {"problems", json::array()}};
  return result;
}

command_result run_diff(command_line& line, const std::vector<std::string>& args) {
  TCLAP::UnlabeledValueArg<std::string> before{"OLD", "Document before", true, "", "OLD", line.arguments()};
  TCLAP::UnlabeledValueArg<std::string> after{"NEW", "Document after", true, "", "NEW", line.arguments()};
  line.parse(args);
  std::vector<environment_document> documents;
  for (const auto& path : {before.getValue(), after.getValue()}) {
    auto loaded = load(path, "trial");
    if (auto* failed = std::get_if<command_result>(&loaded)) {
      // The code `found` would mean that the documents differ.
      failed->code = exit_code::usage;
      return std::move(*failed);
    }
    documents.push_back(std::get<checked_document>(std::move(loaded)).document);
  }
  const auto changes = diff_documents(documents[0], documents[1]);
  command_result result;
  result.code = changes.empty() ? exit_code::done : exit_code::found;
  result.text = changes.empty() ? "no change\n" : describe_changes(changes);
  result.object["changes"] = changes_to_json(changes);
  return result;
}

}  // namespace rhubarbpath::ctl
