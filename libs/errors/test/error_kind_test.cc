// Tests of the error table: complete, with unique names, and safe about calls that may have run.
#include "hawthornlane/errors/error_kind.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace hawthornlane;

TEST_CASE("every error kind has one row, found by kind and by its unique name") {
  std::set<std::string_view> names;
  for (const error_answer& row : error_table()) {
    INFO("kind " << row.name);
    CHECK(&answer_for(row.kind) == &row);
    CHECK(error_kind_from_name(row.name) == row.kind);
    CHECK(names.insert(row.name).second);
    CHECK(row.http_status >= 400);
    CHECK_FALSE(row.meaning.empty());
  }
}

TEST_CASE("only errors after a dispatch say that a call ran or may have run") {
  for (const error_answer& row : error_table()) {
    const bool after_dispatch =
        row.kind == error_kind::may_have_run || row.kind == error_kind::ran_not_kept ||
        row.kind == error_kind::turn_in_progress || row.kind == error_kind::backend_failed ||
        row.kind == error_kind::deadline_exceeded ||
        row.kind == error_kind::request_crashes_servers || row.kind == error_kind::internal;
    INFO("kind " << row.name);
    CHECK((row.outcome == run_outcome::may_have_run || row.outcome == run_outcome::ran_not_kept) ==
          after_dispatch);
  }
}
