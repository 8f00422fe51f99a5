#include <LibBase/Deflate.h>

#include <algorithm>
#include <zlib.h>

namespace radishcross::base {

namespace {

constexpr size_t FirstRoomBytes = 16UL << 10;

const Bytef *inputOf(std::string_view bytes) {
  return reinterpret_cast<const Bytef *>(bytes.data());
}

Bytef *outputOf(std::string &bytes) {
  return reinterpret_cast<Bytef *>(bytes.data());
}

/// Inflates all of \p stream into \p out; grows it up to \p most bytes.
bool inflateAll(z_stream &stream, std::string &out, size_t most) {
  out.resize(std::min(most, FirstRoomBytes));
  while (true) {
    stream.next_out = outputOf(out) + stream.total_out;
    stream.avail_out = static_cast<uInt>(out.size() - stream.total_out);
    int code = inflate(&stream, Z_NO_FLUSH);
    if (code == Z_STREAM_END)
      return stream.avail_in == 0;
    bool isFull = stream.avail_out == 0;
    if (code != Z_OK || !isFull || out.size() >= most)
      return false;
    out.resize(std::min(most, out.size() * 2));
  }
}

} // namespace

std::string deflated(std::string_view bytes) {
  auto room = compressBound(bytes.size());
  std::string out(room, '\0');
  compress2(outputOf(out), &room, inputOf(bytes), bytes.size(), Z_BEST_SPEED);
  out.resize(room);
  out.shrink_to_fit();
  return out;
}

std::optional<std::string> inflated(std::string_view bytes, size_t most,
                                    LastReason &reason) {
  z_stream stream{};
  // The library's interface takes no constant, and changes nothing.
  stream.next_in = const_cast<Bytef *>(inputOf(bytes));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string out;
  bool isWhole = inflateInit(&stream) == Z_OK;
  if (isWhole) {
    isWhole = inflateAll(stream, out, most);
    out.resize(std::min<size_t>(stream.total_out, out.size()));
    inflateEnd(&stream);
  }
  if (!isWhole)
    return reason.fail(ResultCode::RecordMalformed,
                       "compressed bytes are malformed or hold too much");
  return out;
}

} // namespace radishcross::base
