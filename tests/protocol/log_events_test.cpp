#include "rhubarbpath/protocol/log_events.hpp"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace rhubarbpath {
namespace {

const std::filesystem::path source_folder{RHUBARBPATH_SOURCE_DIR};

std::string read_file(const std::filesystem::path& path) {
  std::ifstream file{path};
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::set<std::string> known_events() {
  std::set<std::string> names;
  for (const auto& event : log_events()) {
    names.emplace(event.name);
  }
  return names;
}

/// Event names passed to `log` and `record` in the sources of rhubarb-edge, its scheduler and its limits on
/// clients.
std::set<std::string> written_events() {
  std::set<std::string> names;
  // A conditional expression may pass one of two names, so every name before the first brace is collected.
  const std::regex call{R"((?:\blog|\brecord)\(([^;{]*))"};
  const std::regex name{R"re("([a-z]+(?:_[a-z]+)*)")re"};
  struct searched {
    const char* folder;
    const char* prefix;  ///< Of the names of the files.
  };
  for (const auto& [folder, prefix] : {searched{"src/programs/rhubarb-edge", ""},
                                       searched{"src/coordination/job_scheduler", "job_scheduler"},
                                       searched{"src/transport", "client_limits"}}) {
    for (const auto& entry : std::filesystem::directory_iterator{source_folder / folder}) {
      const auto file = entry.path().filename().string();
      if (entry.path().extension() != ".cpp" || !file.starts_with(prefix)) {
        continue;
      }
      const auto text = read_file(entry.path());
      for (std::sregex_iterator matched_call{text.begin(), text.end(), call}, end; matched_call != end;
           ++matched_call) {
        const auto arguments = (*matched_call)[1].str();
        // The first literal is the name; a second one before ", {}" is the other branch of the conditional.
        const auto first_part = arguments.substr(0, arguments.find(", {}"));
        for (std::sregex_iterator matched_name{first_part.begin(), first_part.end(), name};
             matched_name != end; ++matched_name) {
          if (matched_name->str(1).find('_') != std::string::npos ||
              known_events().contains(matched_name->str(1))) {
            names.insert(matched_name->str(1));
          }
        }
      }
    }
  }
  return names;
}

// Guards against events that the table does not list, and against entries for events that are never logged.
TEST_CASE("log_events_in_code_and_table_are_equal") {
  auto expected = known_events();
  expected.erase("log_lines_dropped");  // Logged by the transport for every program.
  CHECK(written_events() == expected);
}

TEST_CASE("log_events_in_operators_page_and_table_are_equal") {
  const auto page = read_file(source_folder / "docs/OPERATIONS.md");
  const auto begin = page.find("| message | when | fields |");
  REQUIRE(begin != std::string::npos);
  std::string expected = "| message | when | fields |\n|---|---|---|\n";
  for (const auto& event : log_events()) {
    expected += fmt::format("| `{}` | {} | {} |\n", event.name, event.meaning, event.fields);
  }
  CHECK(page.substr(begin, page.find("\n\n", begin) + 1 - begin) == expected);
}

}  // namespace
}  // namespace rhubarbpath
