// A temporary folder for one test, which the destructor removes.
#pragma once

#include <unistd.h>

#include <filesystem>
#include <string>

namespace hawthornlane::test_support {

class scratch_folder {
public:
  explicit scratch_folder(const std::string& purpose)
      : root(std::filesystem::temp_directory_path() /
             ("hawthornlane-" + purpose + "-" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(this->root);
    std::filesystem::create_directories(this->root);
  }
  scratch_folder(const scratch_folder&) = delete;
  scratch_folder& operator=(const scratch_folder&) = delete;
  ~scratch_folder() { std::filesystem::remove_all(this->root); }

  [[nodiscard]] const std::filesystem::path& path() const { return this->root; }
  [[nodiscard]] std::string name() const { return this->root.string(); }

private:
  std::filesystem::path root;
};

}  // namespace hawthornlane::test_support
