#include <exception>
#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "cases.hpp"

int main(int argc, char** argv) {
  using namespace rhubarbpath::review;
  const std::map<std::string, std::function<verdict(const std::string&, bool)>> cases{
      {"gang", run_gang_case},         {"lasting", run_lasting_case},
      {"drain", run_drain_case},       {"incarnation", run_incarnation_case},
      {"takeover", run_takeover_case}, {"limit", run_limit_case}};
  const auto found = argc == 4 ? cases.find(argv[1]) : cases.end();
  if (found == cases.end()) {
    std::cerr << "usage: review_case NAME FOLDER 0|1\n";
    return static_cast<int>(verdict::not_run);
  }
  try {
    return static_cast<int>(found->second(argv[2], std::string{argv[3]} != "0"));
  } catch (const std::exception& error) {
    std::cerr << "review_case: " << error.what() << "\n";
    return static_cast<int>(verdict::not_run);
  }
}
