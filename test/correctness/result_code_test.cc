// Guards against a result code that the documentation lacks or describes differently, and against
// two table rows with the same code.
#include "result_code.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>
#include <string>

using endivecleat::ResultCodeTable;

TEST_GROUP(ResultCodeTable){};

TEST(ResultCodeTable, CodesAreSortedAndUnique) {
  int previous = -1;
  for (const auto& row : ResultCodeTable()) {
    CHECK(static_cast<int>(row.code) > previous);
    previous = static_cast<int>(row.code);
  }
}

TEST(ResultCodeTable, EveryRowIsDocumented) {
  std::ifstream file(std::string(SOURCE_DIR) + "/docs/result-codes.md");
  std::stringstream page;
  page << file.rdbuf();
  for (const auto& row : ResultCodeTable()) {
    std::ostringstream line;
    line << "| " << static_cast<int>(row.code) << " | `" << row.name << "` | ";
    line << (row.http_status == 0 ? "-" : std::to_string(row.http_status)) << " | "
         << row.exit_status << " | " << row.meaning << " |";
    CHECK_TEXT(page.str().find(line.str()) != std::string::npos, line.str().c_str());
  }
}
