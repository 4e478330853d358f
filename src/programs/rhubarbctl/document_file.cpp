#include "document_file.hpp"

#include <fmt/format.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <memory>

#include "rhubarbpath/protocol/digest.hpp"
#include "rhubarbpath/protocol/document_check.hpp"

namespace rhubarbpath::ctl {

std::variant<std::string, command_result> read_text_file(const std::string& path) {
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file{std::fopen(path.c_str(), "rb"), &std::fclose};
  std::string bytes(max_document_bytes + 1, '\0');
  if (file != nullptr) {
    bytes.resize(std::fread(bytes.data(), 1, bytes.size(), file.get()));
  }
  if (file == nullptr || std::ferror(file.get()) != 0) {
    command_result result;
    result.code = exit_code::usage;
    result.error = fmt::format("cannot read {}: {}\n", path, std::strerror(errno));
    return result;
  }
  return bytes;
}

std::variant<checked_document, command_result> check_document_text(std::string bytes,
                                                                   const std::string& source,
                                                                   const std::string& environment) {
  auto parsed = parse_document(bytes, environment);
  const auto problems = check_document(parsed);
  if (problems.empty()) {
    auto digest = sha256_hex(bytes);
    return checked_document{std::move(bytes), std::move(digest), std::move(parsed.document)};
  }
  command_result result;
  result.code = exit_code::found;
  auto list = json::array();
  for (const auto& problem : problems) {
    result.error += format_problem(source, problem) + "\n";
    list.push_back({{"file", source}, {"line", problem.line}, {"message", problem.message}});
  }
  result.object["problems"] = std::move(list);
  return result;
}

std::string describe_changes(const std::vector<document_change>& changes) {
  std::string text;
  for (const auto& change : changes) {
    const auto effect_label =
        change.needs_acceptance() ? fmt::format(" [{}]", to_string(change.effect)) : std::string{};
    text += fmt::format("{}{}\n    {}\n", change.name(), effect_label, change.sentence);
  }
  return text;
}

json changes_to_json(const std::vector<document_change>& changes) {
  auto list = json::array();
  for (const auto& change : changes) {
    list.push_back({{"name", change.name()},
                    {"subject", to_string(change.subject)},
                    {"action", to_string(change.action)},
                    {"id", change.id},
                    {"effect", to_string(change.effect)},
                    {"needs_acceptance", change.needs_acceptance()},
                    {"sentence", change.sentence}});
  }
  return list;
}

}  // namespace rhubarbpath::ctl
