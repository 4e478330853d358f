#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rhubarbpath/protocol/document_yaml.hpp"

namespace rhubarbpath::detail {

enum class yaml_kind { null, scalar, sequence, map };

/// A YAML value with its line. Unlike the node type of the library, which resolves aliases and merge keys
/// (not allowed in a document) and shares nodes, it owns its children.
struct yaml_node {
  yaml_kind kind{yaml_kind::null};
  int line{1};
  std::string text;              ///< Value of a scalar.
  std::vector<yaml_node> items;  ///< Items of a sequence, or alternating keys and values of a map.
};

/// Parses one YAML document. Rejects aliases, anchors, tags, more than 200,000 nodes and any text that
/// `check_yaml_text` rejects.
[[nodiscard]] std::variant<yaml_node, document_problem> load_yaml(std::string_view text);

}  // namespace rhubarbpath::detail
