/* Placeholder until the library has its first file. */
#include "net/fns.h"
