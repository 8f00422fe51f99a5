#include "Command.h"
#include "Output.h"

#include <LibExplain/Explanation.h>
#include <LibExplain/LineSplitter.h>

#include <array>
#include <fstream>

namespace radishcross::cli {

namespace {

using base::ResultCode;

constexpr size_t ReadBufferBytes = 64UL << 10;

bool readLines(const std::string &path, explain::LogCollection &lines,
               base::LastReason &reason) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    reason.fail(ResultCode::FileUnreadable,
                path + ": the file cannot be opened");
    return false;
  }
  explain::LineSplitter splitter(
      [&lines](std::string_view it) { lines.add(it); });
  std::array<char, ReadBufferBytes> buf{};
  while (file) {
    file.read(buf.data(), buf.size());
    splitter.add({buf.data(), static_cast<size_t>(file.gcount())});
  }
  splitter.end();
  if (!file.bad())
    return true;
  reason.fail(ResultCode::FileUnreadable, path + ": the file cannot be read");
  return false;
}

} // namespace

ResultCode explainRequest(const Arguments &arguments) {
  explain::LogCollection lines(arguments.at(0));
  base::LastReason reason;
  for (size_t i = 1; i < arguments.size(); ++i)
    if (!readLines(arguments[i], lines, reason))
      return printFailure(reason);
  auto explanation = explain::explain(lines);
  if (isJsonOutput())
    printDocument(explain::explanationJson(explanation));
  else
    print(explain::explanationText(explanation));
  return explanation.Hops.empty() ? ResultCode::NotFound : ResultCode::Ok;
}

} // namespace radishcross::cli
