# Rules that build one program from its own objects, those that all programs
# share and libkcc.a.  The including Makefile sets NAME.
include $(dir $(lastword $(MAKEFILE_LIST)))../config.mk

SHARED_SOURCES := $(wildcard $(ROOT)programs/request/*.c \
    $(ROOT)programs/connection/*.c $(ROOT)programs/process/*.c \
    $(ROOT)platform/*.c)
SHARED_OBJECTS := $(patsubst $(ROOT)%.c,$(BUILD)/%.o,$(SHARED_SOURCES))
OWN_OBJECTS := $(patsubst %.c,$(BUILD)/programs/$(NAME)/%.o,$(wildcard *.c))

all: $(BUILD)/$(NAME)

$(BUILD)/$(NAME): $(OWN_OBJECTS) $(SHARED_OBJECTS) $(BUILD)/libkcc.a
	$(CC) $(CFLAGS_ALL) $(LDFLAGS) $^ -o $@ $(PROGRAM_LIBS) $(LIB_LIBS)

$(BUILD)/programs/$(NAME)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CFLAGS_ALL) -c $< -o $@

$(BUILD)/programs/%.o: $(ROOT)programs/%.c
	@mkdir -p $(dir $@)
	$(CC) $(CFLAGS_ALL) -c $< -o $@

$(BUILD)/platform/%.o: $(ROOT)platform/%.c
	@mkdir -p $(dir $@)
	$(CC) $(CFLAGS_ALL) -c $< -o $@

-include $(OWN_OBJECTS:.o=.d) $(SHARED_OBJECTS:.o=.d)
