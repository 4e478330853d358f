// Plays one case: review_case NAME RECORD. With TROUBLE=0 in the environment, without its disruption.
#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <string>

#include "cases.hpp"

int main(int argc, char** argv) {
  using namespace rhubarbpath::review;
  const std::map<std::string, verdict (*)(const std::filesystem::path&, bool)> cases{
      {"adviser_moves", &adviser_moves},
      {"gang_with_advice", &gang_with_advice},
      {"kind_changes", &kind_changes},
      {"lasting_after_flap", &lasting_after_flap},
      {"too_many_away", &too_many_away}};
  const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
  if (found == cases.end()) {
    std::cerr << "usage: review_case NAME RECORD\n";
    return static_cast<int>(verdict::cannot_run);
  }
  const char* trouble = std::getenv("TROUBLE");
  try {
    const auto result = found->second(argv[2], trouble == nullptr || std::string{trouble} != "0");
    std::cout << argv[1] << ": "
              << (result == verdict::held     ? "the rule held"
                  : result == verdict::broken ? "the rule was broken"
                                              : "the case could not run")
              << "\n";
    return static_cast<int>(result);
  } catch (const std::exception& error) {
    std::cerr << argv[1] << ": " << error.what() << "\n";
    return static_cast<int>(verdict::cannot_run);
  }
}
