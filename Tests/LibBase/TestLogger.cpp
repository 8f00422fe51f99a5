#include <LibBase/LogWriter.h>
#include <LibBase/Logger.h>

#include <array>
#include <boost/json/parse.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <string>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace radishcross;
using base::LogWriter;

namespace {

/// A pipe whose reader reads only when read() is called.
class Pipe {
public:
  Pipe() { REQUIRE(::pipe2(Ends.data(), O_CLOEXEC) == 0); }
  ~Pipe() {
    closeReader();
    ::close(Ends[1]);
  }
  Pipe(const Pipe &) = delete;
  Pipe &operator=(const Pipe &) = delete;

  int writer() const { return Ends[1]; }

  void closeReader() {
    if (Ends[0] >= 0)
      ::close(Ends[0]);
    Ends[0] = -1;
  }

  /// Returns the bytes that are in the pipe now.
  std::string read() const {
    std::string out;
    std::array<char, 65536> buf{};
    ::fcntl(Ends[0], F_SETFL, O_NONBLOCK);
    for (;;) {
      ssize_t n = ::read(Ends[0], buf.data(), buf.size());
      if (n <= 0)
        return out;
      out.append(buf.data(), static_cast<size_t>(n));
    }
  }

private:
  std::array<int, 2> Ends{-1, -1};
};

std::vector<std::string> linesOf(const std::string &text) {
  std::vector<std::string> out;
  for (size_t at = 0; at < text.size();) {
    size_t end = text.find('\n', at);
    REQUIRE(end != std::string::npos);
    out.push_back(text.substr(at, end - at));
    at = end + 1;
  }
  return out;
}

void setUp(int descriptor) {
  base::LogSettings settings;
  settings.Node = "n1";
  settings.DataCentre = "mobile";
  settings.Descriptor = descriptor;
  base::configureLog(settings);
}

} // namespace

TEST_CASE("a log reader that does not read does not block the writer") {
  Pipe pipe;
  setUp(pipe.writer());
  constexpr uint64_t Lines = 20000;
  auto started = std::chrono::steady_clock::now();
  for (uint64_t i = 0; i < Lines; ++i) {
    base::log(base::LogLevel::Error, i % 2 == 0 ? "call refused" : "call lost",
              {{"request", std::to_string(i)}});
    if (i % 100 == 0)
      base::flushLog();
  }
  // A generous bound; a writer that blocks never gets here.
  CHECK(std::chrono::steady_clock::now() - started < std::chrono::seconds(30));
  uint64_t dropped = base::droppedLogLines();
  CHECK(dropped > 0);
  CHECK(dropped < Lines);
  auto byEvent = base::droppedLogLinesByEvent();
  CHECK(byEvent.size() == 2);
  CHECK(byEvent["call refused"] + byEvent["call lost"] == dropped);
  // Once the reader catches up, it gets whole lines in order and the number of
  // dropped ones.
  std::string text = pipe.read();
  for (int i = 0; i < 20; ++i) {
    base::flushLog();
    text += pipe.read();
  }
  auto lines = linesOf(text);
  REQUIRE(lines.size() == Lines - dropped + 1);
  CHECK(lines.front().find("\"request\":\"0\"") != std::string::npos);
  CHECK(lines.back().find("\"event\":\"log lines dropped\"") !=
        std::string::npos);
  CHECK(lines.back().find("\"lines\":\"" + std::to_string(dropped) + "\"") !=
        std::string::npos);
  CHECK(
      lines.back().find("call lost: " + std::to_string(byEvent["call lost"])) !=
      std::string::npos);
  setUp(-1);
}

TEST_CASE("lines are buffered until the next flush and then written whole") {
  Pipe pipe;
  setUp(pipe.writer());
  base::log(base::LogLevel::Info, "node started", {{"calls", "10.0.0.1:9"}});
  base::log(base::LogLevel::Debug, "not asked for");
  CHECK(pipe.read().empty());
  base::flushLog();
  auto lines = linesOf(pipe.read());
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].find("\"node\":\"n1\",\"data_centre\":\"mobile\","
                      "\"event\":\"node started\",\"calls\":"
                      "\"10.0.0.1:9\"") != std::string::npos);
  base::log(base::LogLevel::Error, "folds differ");
  CHECK(linesOf(pipe.read()).size() == 1);
  setUp(-1);
}

TEST_CASE("a text that is not UTF-8 does not make its line unreadable") {
  const std::pair<std::string, std::string> texts[] = {
      {"caf\xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80",
       "caf\xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80"},
      {"\xff\xfe!", "**!"},
      {"a\x80", "a*"},
      {"\xc3", "*"},
      {"\xc3(", "*("},
      {"\xc0\xaf", "**"},
      {"\xe2\x82", "**"},
      {"\xed\xa0\x80", "***"},
      {"\xe0\x80\x80", "***"},
      {"\xf4\x90\x80\x80", "****"},
      {"\xf8\x88\x80\x80\x80", "*****"},
  };
  for (const auto &it : texts) {
    CAPTURE(it.second);
    Pipe pipe;
    setUp(pipe.writer());
    base::log(base::LogLevel::Info, "odd", {{"text", it.first}});
    base::flushLog();
    boost::system::error_code ec;
    auto line = boost::json::parse(pipe.read(), ec);
    CHECK_FALSE(ec);
    if (ec)
      continue;
    std::string found(line.at("text").as_string());
    for (size_t at; (at = found.find("\xef\xbf\xbd")) != std::string::npos;)
      found.replace(at, 3, "*");
    CHECK(found == it.second);
  }
  setUp(-1);
}

TEST_CASE("changing the log settings loses no line") {
  Pipe pipe;
  setUp(pipe.writer());
  base::log(base::LogLevel::Info, "first");
  base::LogSettings changed;
  changed.Descriptor = pipe.writer();
  changed.Format = base::LogFormat::Plain;
  base::configureLog(changed);
  base::log(base::LogLevel::Info, "second");
  setUp(-1);
  auto lines = linesOf(pipe.read());
  REQUIRE(lines.size() == 2);
  CHECK(lines[0].find("\"event\":\"first\"") != std::string::npos);
  CHECK(lines[1] == "info / second");
}

TEST_CASE("a log writer buffers no more than its capacity") {
  Pipe pipe;
  LogWriter writer(pipe.writer(), 10);
  CHECK(writer.add("12345"));
  CHECK_FALSE(writer.add(std::string(10, 'x')));
  // The buffered line was written to make room.
  CHECK(pipe.read() == "12345\n");
  CHECK(writer.add("123456789"));
  CHECK(writer.bufferedBytes() == 10);
  writer.flush();
  CHECK(writer.bufferedBytes() == 0);
  LogWriter discarding(-1, 0);
  CHECK(discarding.add("anything"));
  CHECK(discarding.bufferedBytes() == 0);
}

TEST_CASE("a line longer than the pipe accepts at once arrives whole") {
  Pipe pipe;
  LogWriter writer(pipe.writer(), 1U << 20U);
  std::string line(50000, 'y');
  CHECK(writer.add(line));
  CHECK(writer.add("next"));
  std::string text;
  for (int i = 0; i < 40 && writer.bufferedBytes() > 0; ++i) {
    writer.flush();
    text += pipe.read();
  }
  CHECK(text == line + "\nnext\n");
}

TEST_CASE("lines are discarded once the reader has closed the pipe") {
  auto *before = std::signal(SIGPIPE, SIG_IGN);
  Pipe pipe;
  LogWriter writer(pipe.writer(), 100);
  pipe.closeReader();
  for (int i = 0; i < 100; ++i) {
    CHECK(writer.add("a line of some length"));
    writer.flush();
  }
  CHECK(writer.bufferedBytes() == 0);
  std::signal(SIGPIPE, before);
}

TEST_CASE("a log file receives every line") {
  auto *file = std::tmpfile();
  REQUIRE(file);
  LogWriter writer(::fileno(file), 4096);
  for (int i = 0; i < 1000; ++i)
    REQUIRE(writer.add(std::string(100, 'z')));
  writer.flush();
  CHECK(::lseek(::fileno(file), 0, SEEK_END) == 101000);
  std::fclose(file);
}

TEST_CASE("a log line is valid JSON for any text") {
  Pipe pipe;
  setUp(pipe.writer());
  std::string text;
  for (int c = 0; c < 128; ++c)
    text += static_cast<char>(c);
  text += "\xc3\xa9";
  base::log(base::LogLevel::Info, "first", {{"reason", text}, {"empty", ""}});
  base::flushLog();
  setUp(-1);
  auto lines = linesOf(pipe.read());
  REQUIRE(lines.size() == 1);
  auto line = boost::json::parse(lines[0]).as_object();
  CHECK(line.size() == 7);
  CHECK(line.at("time_us").is_int64());
  CHECK(line.at("reason").as_string() == text);
  CHECK(line.at("empty").as_string() == "");
}
