#ifndef SRC_DANDELIONMILL_BACKEND_CHUNK_H_
#define SRC_DANDELIONMILL_BACKEND_CHUNK_H_

#include <optional>
#include <string>
#include <string_view>

#include "dandelionmill/base/units.h"

namespace dandelionmill::backend {

// Token counts of an attempt.
struct Usage {
  base::Tokens prompt = 0;
  base::Tokens completion = 0;
};

// The accounting data in one event of a model engine's stream.
struct ChunkInfo {
  // Whether the event is the end marker "[DONE]".
  bool done = false;
  // Whether this is the first event, which has the actual prompt token count
  // and no text.
  bool usage_only = false;
  // Completion tokens in this chunk.
  base::Tokens tokens = 0;
  // Totals reported by the engine, in the first event and the last chunk.
  std::optional<Usage> usage;
};

// Reads the data of one event of a model engine. Malformed JSON is
// not an error but yields no usage. Chunks without usage are scanned instead of
// parsed: quotes inside a JSON string are escaped, so a quoted key followed by
// a colon can only be a key.
ChunkInfo ParseChunk(std::string_view data);

// The text of a chunk and its finish reason; empty if absent.
struct ChunkText {
  std::string text;
  std::string finish_reason;
};
// Reads the first choice of a chat or text completion chunk. Returns empty
// strings for malformed data.
ChunkText ParseChunkText(const std::string& data);

}  // namespace dandelionmill::backend

#endif  // SRC_DANDELIONMILL_BACKEND_CHUNK_H_
