// Responses to callers as JSON; errors come from the error table.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hawthornlane/http/message.h"
#include "hawthornlane/ownership/actions.h"

namespace hawthornlane {

/// Converts a digest to the form that callers see, 16 hexadecimal digits, and back.
std::string hex(std::uint64_t value);
std::optional<std::uint64_t> from_hex(const std::string& text);

http::response json_response(const boost::json::object& body, int status = 200);
/// Adds the error table's entry for `kind` to a body.
void put_error(boost::json::object& body, error_kind kind, std::string_view detail);
boost::json::object to_json(const call_answer& answer);
http::response to_response(const call_answer& answer);
/// One event of a stream, e.g. "event: text\ndata: {...}\n\n".
std::string server_sent_event(std::string_view name, const boost::json::object& data);

}  // namespace hawthornlane
