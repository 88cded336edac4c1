// A catalog that is being decoded in steps, so that other work can be done between them.

#pragma once

#include "ramphinge/base/result.h"
#include "ramphinge/catalog/service_catalog.h"

namespace ramphinge {

class CatalogDecoding
{
public:
    virtual ~CatalogDecoding() = default;

    // Returns whether the catalog is complete; then call take(). Errors: InvalidInput; then don't
    // call it again.
    virtual Result<bool> step() = 0;
    virtual CatalogContent take() = 0;
};

} // namespace ramphinge
