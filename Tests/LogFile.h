#pragma once

#include <LibBase/Logger.h>

#include <array>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <cstdio>
#include <doctest/doctest.h>
#include <string>
#include <string_view>
#include <unistd.h>
#include <vector>

namespace radishcross::tests {

/// Redirects the process's log to a temporary file for its lifetime.
class LogFile {
public:
  LogFile() : File(std::tmpfile()) {
    REQUIRE(File);
    base::LogSettings settings;
    settings.Descriptor = ::fileno(File);
    base::configureLog(settings);
  }
  ~LogFile() {
    base::LogSettings none;
    none.Descriptor = -1;
    base::configureLog(none);
    std::fclose(File);
  }
  LogFile(const LogFile &) = delete;
  LogFile &operator=(const LogFile &) = delete;

  std::vector<boost::json::object> lines() {
    base::flushLog();
    std::rewind(File);
    std::vector<boost::json::object> out;
    std::array<char, 4096> buf{};
    while (std::fgets(buf.data(), buf.size(), File))
      out.push_back(boost::json::parse(buf.data()).as_object());
    return out;
  }

private:
  std::FILE *File;
};

/// Returns a string field of a log line; empty if it has none of this name.
inline std::string textAt(const boost::json::object &line,
                          std::string_view key) {
  const auto *value = line.if_contains(key);
  return value && value->is_string() ? std::string(value->get_string()) : "";
}

} // namespace radishcross::tests
