/* Placeholder until the library has its first file. */
#include "ledger/fns.h"
