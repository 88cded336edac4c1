// Helpers for PlatformStore: see platform_store.h.

#include "ramphinge/store/platform_store.h"

namespace ramphinge {

Result<StoredValue> readExisting(PlatformStore &store, const StoreKey &key)
{
    const Result<std::optional<StoredValue>> found = store.read(key);
    if (!found.ok())
        return found.error();
    if (!found.value())
        return Error(ErrorKind::NotFound, "the platform holds no " + key.text());
    return *found.value();
}

} // namespace ramphinge
