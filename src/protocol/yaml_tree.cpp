#include "yaml_tree.hpp"

#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <sstream>
#include <utility>

#include "yaml_limits.hpp"

namespace rhubarbpath::detail {

namespace {

// A document of 11,000 workers in racks of 8 takes about 15,000 nodes.
constexpr std::size_t max_nodes = 200'000;

/// Exception that aborts parsing from an event handler; the library has no other way to stop.
struct rejected_yaml {
  document_problem problem;
};

[[noreturn]] void reject(const YAML::Mark& mark, std::string message) {
  throw rejected_yaml{{std::max(mark.line, 0) + 1, std::move(message)}};
}

class tree_builder final : public YAML::EventHandler {
 public:
  [[nodiscard]] yaml_node take_root() { return std::move(root_); }

  void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    reject_anchor(mark, anchor);
    attach(make(mark, yaml_kind::null));
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    reject(mark, "YAML aliases (*name) are not accepted; write the value out, or use rack_defaults");
  }

  void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                const std::string& value) override {
    reject_anchor(mark, anchor);
    reject_tag(mark, tag);
    auto node = make(mark, yaml_kind::scalar);
    node.text = value;
    attach(std::move(node));
  }

  void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) override {
    open(mark, tag, anchor, yaml_kind::sequence);
  }
  void OnSequenceEnd() override { close(); }

  void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                  YAML::EmitterStyle::value /*style*/) override {
    open(mark, tag, anchor, yaml_kind::map);
  }
  void OnMapEnd() override { close(); }

 private:
  static void reject_anchor(const YAML::Mark& mark, YAML::anchor_t anchor) {
    if (anchor != YAML::NullAnchor) {
      reject(mark, "YAML anchors (&name) are not accepted; write the value out, or use rack_defaults");
    }
  }

  static void reject_tag(const YAML::Mark& mark, const std::string& tag) {
    // The library reports the tag "?" for a plain scalar and "!" for a quoted one.
    if (!tag.empty() && tag != "?" && tag != "!") {
      reject(mark, fmt::format("YAML tag {} is not accepted; write the value without a tag", tag));
    }
  }

  yaml_node make(const YAML::Mark& mark, yaml_kind kind) {
    if (++nodes_ > max_nodes) {
      reject(mark, fmt::format("the document has more than {} values", max_nodes));
    }
    yaml_node node;
    node.kind = kind;
    node.line = std::max(mark.line, 0) + 1;
    return node;
  }

  void open(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, yaml_kind kind) {
    reject_anchor(mark, anchor);
    reject_tag(mark, tag);
    if (open_.size() >= std::size_t{max_yaml_depth}) {
      reject(mark, fmt::format("values are nested deeper than {} levels", max_yaml_depth));
    }
    open_.push_back(make(mark, kind));
  }

  void close() {
    auto node = std::move(open_.back());
    open_.pop_back();
    attach(std::move(node));
  }

  void attach(yaml_node node) {
    if (open_.empty()) {
      root_ = std::move(node);
    } else {
      open_.back().items.push_back(std::move(node));
    }
  }

  yaml_node root_;
  std::vector<yaml_node> open_;
  std::size_t nodes_{0};
};

}  // namespace

std::variant<yaml_node, document_problem> load_yaml(std::string_view text) {
  if (auto problem = check_yaml_text(text)) {
    return *std::move(problem);
  }
  // Trailing line breaks are removed because the library accepts an unterminated quoted scalar that is
  // followed by them.
  const auto last = text.find_last_not_of(" \t\r\n");
  std::istringstream input{std::string{text.substr(0, last == std::string_view::npos ? 0 : last + 1)}};
  tree_builder builder;
  try {
    YAML::Parser parser{input};
    if (!parser.HandleNextDocument(builder)) {
      return document_problem{1, "the document is empty; at least the keys regions and teams are needed"};
    }
    auto root = builder.take_root();
    tree_builder next_document;
    if (parser.HandleNextDocument(next_document)) {
      return document_problem{next_document.take_root().line,
                              "a second YAML document begins here; one is accepted"};
    }
    return root;
  } catch (const rejected_yaml& rejected) {
    return rejected.problem;
  } catch (const YAML::Exception& error) {
    return document_problem{std::max(error.mark.line, 0) + 1, fmt::format("not valid YAML: {}", error.msg)};
  }
}

}  // namespace rhubarbpath::detail
