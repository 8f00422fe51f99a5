#include <LibBase/Deflate.h>

#include <algorithm>
#include <zlib.h>

namespace radishcross::base {

namespace {

constexpr size_t InitialOutputBytes = 16UL << 10;

const Bytef *inputPointer(std::string_view bytes) {
  return reinterpret_cast<const Bytef *>(bytes.data());
}

Bytef *outputPointer(std::string &bytes) {
  return reinterpret_cast<Bytef *>(bytes.data());
}

/// Inflates all of \p stream into \p out, which grows up to \p maxBytes.
bool inflateAll(z_stream &stream, std::string &out, size_t maxBytes) {
  out.resize(std::min(maxBytes, InitialOutputBytes));
  while (true) {
    stream.next_out = outputPointer(out) + stream.total_out;
    stream.avail_out = static_cast<uInt>(out.size() - stream.total_out);
    int code = inflate(&stream, Z_NO_FLUSH);
    if (code == Z_STREAM_END)
      return stream.avail_in == 0;
    bool isFull = stream.avail_out == 0;
    if (code != Z_OK || !isFull || out.size() >= maxBytes)
      return false;
    out.resize(std::min(maxBytes, out.size() * 2));
  }
}

} // namespace

std::string zlibCompress(std::string_view bytes) {
  auto compressedSize = compressBound(bytes.size());
  std::string out(compressedSize, '\0');
  compress2(outputPointer(out), &compressedSize, inputPointer(bytes),
            bytes.size(), Z_BEST_SPEED);
  out.resize(compressedSize);
  out.shrink_to_fit();
  return out;
}

std::optional<std::string> zlibDecompress(std::string_view bytes,
                                          size_t maxBytes, LastReason &reason) {
  z_stream stream{};
  // zlib takes a non-const pointer but does not write to the input.
  stream.next_in = const_cast<Bytef *>(inputPointer(bytes));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string out;
  bool isComplete = inflateInit(&stream) == Z_OK;
  if (isComplete) {
    isComplete = inflateAll(stream, out, maxBytes);
    out.resize(std::min<size_t>(stream.total_out, out.size()));
    inflateEnd(&stream);
  }
  if (!isComplete)
    return reason.fail(
        ResultCode::RecordMalformed,
        "the compressed data is malformed or larger than its limit");
  return out;
}

} // namespace radishcross::base
