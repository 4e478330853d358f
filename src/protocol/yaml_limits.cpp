#include "yaml_limits.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <string>

#include "utf8.hpp"

namespace rhubarbpath::detail {

namespace {

constexpr std::size_t max_line_bytes = 4'000;
constexpr std::size_t max_bracket_bytes = 64'000;

int line_at(std::string_view text, std::size_t position) {
  const auto before = text.substr(0, position);
  return 1 + static_cast<int>(std::count(before.begin(), before.end(), '\n'));
}

bool is_forbidden_control(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte < 0x20U && c != '\n' && c != '\r' && c != '\t';
}

/// Tracks the depth of brackets outside quotes and comments, line by line. A quote ends at the end of its
/// line: no value of a document spans lines, and a misread quote then hides at most one line.
class bracket_scanner {
 public:
  std::optional<std::string> scan_line(std::string_view line) {
    char quote = '\0';
    char before = ' ';
    for (const char c : line) {
      if (quote != '\0') {
        quote = c == quote ? '\0' : quote;
      } else if (c == '#' && is_space(before)) {
        break;
      } else if ((c == '"' || c == '\'') && begins_value(before)) {
        quote = c;
      } else {
        count(c, before);
      }
      before = c;
      if (depth_ > max_yaml_depth) {
        return fmt::format("values are nested deeper than {} levels", max_yaml_depth);
      }
    }
    bytes_ = depth_ > 0 ? bytes_ + line.size() : 0;
    if (bytes_ > max_bracket_bytes) {
      return fmt::format("a collection in brackets is longer than {} bytes; accepted: a list with '-' lines",
                         max_bracket_bytes);
    }
    return std::nullopt;
  }

 private:
  static bool is_space(char c) { return c == ' ' || c == '\t' || c == '\r'; }
  static bool begins_value(char before) {
    return is_space(before) || std::string_view{"[{,:-?"}.find(before) != std::string_view::npos;
  }

  void count(char c, char before) {
    const bool inside = depth_ > 0;
    // Outside a flow collection, plain scalars may contain brackets.
    if ((c == '[' || c == '{') && (inside || begins_value(before))) {
      ++depth_;
    } else if ((c == ']' || c == '}') && inside) {
      --depth_;
    }
  }

  int depth_{0};
  std::size_t bytes_{0};
};

std::optional<document_problem> check_lines(std::string_view text) {
  bracket_scanner scanner;
  for (int number = 1; !text.empty(); ++number) {
    const auto line = text.substr(0, text.find('\n'));
    if (line.size() > max_line_bytes) {
      return document_problem{
          number, fmt::format("the line has {} bytes; accepted: at most {}", line.size(), max_line_bytes)};
    }
    if (auto message = scanner.scan_line(line)) {
      return document_problem{number, *std::move(message)};
    }
    text.remove_prefix(std::min(line.size() + 1, text.size()));
  }
  return std::nullopt;
}

}  // namespace

std::optional<document_problem> check_yaml_text(std::string_view text) {
  if (text.size() > max_document_bytes) {
    return document_problem{
        1, fmt::format("the document has {} bytes; accepted: at most {}", text.size(), max_document_bytes)};
  }
  if (const auto position = invalid_utf8_position(text)) {
    return document_problem{line_at(text, *position), "the text is not UTF-8; save the file as UTF-8"};
  }
  const auto* const control = std::find_if(text.begin(), text.end(), is_forbidden_control);
  if (control != text.end()) {
    return document_problem{line_at(text, static_cast<std::size_t>(control - text.begin())),
                            "the text has a control character; only tab and line ends are accepted"};
  }
  return check_lines(text);
}

}  // namespace rhubarbpath::detail
