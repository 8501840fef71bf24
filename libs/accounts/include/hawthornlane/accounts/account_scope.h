// Qualifies names that callers choose by their account.
#pragma once

#include <string>
#include <string_view>

#include "hawthornlane/units/ids.h"

namespace hawthornlane {

/// Name of an account's program, session or turn as hosts and disks use it. Equal names of two
/// accounts stay distinct. The account's length goes first, so that no two pairs of account and id
/// yield the same text. Callers without a key have an empty account; they may exist beside callers
/// with a key.
inline std::string within_account(const client_account& account, std::string_view id) {
  std::string name = std::to_string(account.get().size());
  name += ':';
  name += account.get();
  name += '/';
  name += id;
  return name;
}

}  // namespace hawthornlane
