// Helpers for reading JSON responses.
#pragma once

#include <boost/json.hpp>
#include <string>

namespace hawthornlane::cli {

inline std::string as_text(const boost::json::value& value) {
  return value.is_string() ? std::string(value.as_string()) : boost::json::serialize(value);
}

/// The field as text; empty when it is absent.
inline std::string field(const boost::json::object& object, const char* name) {
  const boost::json::value* value = object.if_contains(name);
  return value == nullptr ? std::string() : as_text(*value);
}

/// Parses the text as a JSON object; returns an empty object when it is not one.
inline boost::json::object parsed_object(const std::string& text) {
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(text, error);
  return error || !value.is_object() ? boost::json::object() : value.as_object();
}

}  // namespace hawthornlane::cli
