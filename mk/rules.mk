# Shared rules. A directory's makefile sets TOP and either LIB or PROG and LIBS,
# then includes this file. B=rel is the plain build, B=san the sanitized one.
B ?= rel
O ?= $(TOP)/build/$(B)
PKGS = libuv libh2o msgpack jansson glib-2.0 libxxhash
CFLAGS_rel = -O2 -g
CFLAGS_san = -O1 -g -fsanitize=address,undefined -fno-sanitize-recover=all \
	-fno-omit-frame-pointer
WARN = -Wall -Wextra -Werror -Wno-unused-parameter
WARNC = $(WARN) -Wstrict-prototypes -Wmissing-prototypes
CPPFLAGS += -I$(TOP)/lib -I$(TOP)/platform -I$(TOP)/test -D_GNU_SOURCE -DH2O_USE_LIBUV=1 \
	$(shell pkg-config --cflags $(PKGS))
CFLAGS += -std=gnu11 $(CFLAGS_$(B))
CXXFLAGS += -std=gnu++17 $(CFLAGS_$(B)) $(WARN)
LDLIBS += $(shell pkg-config --libs $(PKGS)) -linih -lhttp_parser -lssl -lcrypto -lz -lm

ifdef LIB
CFILES ?= $(wildcard *.c)
OFILES = $(CFILES:%.c=$(O)/$(LIB)/%.o)
TARGET = $(O)/lib$(LIB).a
$(TARGET): $(OFILES)
	@rm -f $@
	@ar rcs $@ $(OFILES)
endif

ifdef PROG
CFILES ?= $(wildcard *.c)
OFILES = $(CFILES:%.c=$(O)/$(PROG).d/%.o)
TARGET = $(O)/$(PROG)
AFILES = $(LIBS:%=$(O)/lib%.a)
$(TARGET): $(OFILES) $(AFILES)
	@echo LD $@
	@$(CC) $(CFLAGS) -o $@ $(OFILES) $(AFILES) $(LDLIBS)
endif

all: $(TARGET)
.DEFAULT_GOAL = all

$(O)/$(LIB)$(if $(PROG),$(PROG).d)/%.o: %.c
	@mkdir -p $(@D)
	@echo CC $<
	@$(CC) $(CPPFLAGS) $(CFLAGS) $(WARNC) -MMD -MP -c -o $@ $<

-include $(OFILES:.o=.d)
.PHONY: all
