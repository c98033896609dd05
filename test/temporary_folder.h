// Creates a unique temporary folder and removes it with its content on destruction.
#ifndef ENDIVECLEAT_TEST_TEMPORARY_FOLDER_H_
#define ENDIVECLEAT_TEST_TEMPORARY_FOLDER_H_

#include <stdlib.h>  // NOLINT(modernize-deprecated-headers): mkdtemp is not in <cstdlib>

#include <filesystem>
#include <string>

#include "errors.h"

namespace endivecleat::test {

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "endivecleat-XXXXXX").string();
    ENDIVECLEAT_CHECK(::mkdtemp(name.data()) != nullptr, "cannot create a temporary folder");
    path_ = name;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_TEMPORARY_FOLDER_H_
