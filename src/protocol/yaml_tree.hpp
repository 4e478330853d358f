#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rhubarbpath/protocol/document_yaml.hpp"

namespace rhubarbpath::detail {

enum class yaml_kind { null, scalar, sequence, map };

/// A YAML value with its line. The library's own node type resolves aliases and merges, which a
/// document may not use, and shares nodes; this one owns its children.
struct yaml_node {
  yaml_kind kind{yaml_kind::null};
  int line{1};
  std::string text;              ///< Of a scalar.
  std::vector<yaml_node> items;  ///< Of a sequence; of a map, keys and values in turn.
};

/// Parses one YAML document. Rejects aliases, anchors, tags, more than 200,000 nodes and what
/// `check_yaml_text` rejects.
[[nodiscard]] std::variant<yaml_node, document_problem> load_yaml(std::string_view text);

}  // namespace rhubarbpath::detail
