# Shared by the makefiles of the stand-ins: PROG is set, LIBS adds to stand.
TOP = ../../..
LIBS += stand base
include $(TOP)/mk/rules.mk

$(O)/libstand.a: FORCE
	@$(MAKE) --no-print-directory -C ../lib B=$(B)

$(O)/libbase.a: FORCE
	@$(MAKE) --no-print-directory -C $(TOP)/lib/base B=$(B)

FORCE:
.PHONY: FORCE
