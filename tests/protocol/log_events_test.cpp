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

std::string text_of(const std::filesystem::path& path) {
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

/// Names in calls of `log` and `record` in the sources of rhubarb-edge and its scheduler.
std::set<std::string> written_events() {
  std::set<std::string> names;
  // A call may choose between two names, so all names before its first brace count.
  const std::regex call{R"((?:\blog|\brecord)\(([^;{]*))"};
  const std::regex name{R"re("([a-z]+(?:_[a-z]+)*)")re"};
  for (const auto* folder : {"src/programs/rhubarb-edge", "src/coordination"}) {
    for (const auto& entry : std::filesystem::directory_iterator{source_folder / folder}) {
      const auto file = entry.path().filename().string();
      const bool counts = entry.path().extension() == ".cpp" &&
                          (std::string{folder} != "src/coordination" || file.starts_with("job_scheduler"));
      if (!counts) {
        continue;
      }
      const auto text = text_of(entry.path());
      for (std::sregex_iterator found{text.begin(), text.end(), call}, end; found != end; ++found) {
        const auto arguments = (*found)[1].str();
        // The first text is the name; a second one before a comma belongs to the same choice.
        const auto first_part = arguments.substr(0, arguments.find(", {}"));
        for (std::sregex_iterator each{first_part.begin(), first_part.end(), name}; each != end; ++each) {
          if (each->str(1).find('_') != std::string::npos || known_events().contains(each->str(1))) {
            names.insert(each->str(1));
          }
        }
      }
    }
  }
  return names;
}

// Guards against log lines that the operators' page does not list, and rows for lines that nobody writes.
TEST_CASE("log_events_in_code_and_table_are_equal") {
  auto expected = known_events();
  expected.erase("log_lines_dropped");  // The transport writes it for every program.
  CHECK(written_events() == expected);
}

TEST_CASE("log_events_in_operators_page_and_table_are_equal") {
  const auto page = text_of(source_folder / "docs/OPERATIONS.md");
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
