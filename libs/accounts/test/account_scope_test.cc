// Names of different accounts must not collide: a collision would let one account read or continue
// another's turns.
#include "hawthornlane/accounts/account_scope.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;

TEST_CASE("names of two accounts do not collide, even if one contains the other's prefix") {
  struct row {
    std::string one_account;
    std::string one_id;
    std::string other_account;
    std::string other_id;
  };
  const row item = GENERATE(values<row>({{"north", "1", "south", "1"},
                                         {"", "1", "north", "1"},
                                         {"north", "a/b", "north/a", "b"},
                                         {"", "5:north/1", "north", "1"},
                                         {"5:north", "1", "", "5:north/1"}}));
  CHECK(within_account(client_account(item.one_account), item.one_id) !=
        within_account(client_account(item.other_account), item.other_id));
}
